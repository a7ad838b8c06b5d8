#pragma once

#include "base/error.hpp"
#include "node/platform_adapter.hpp"
#include "schema/settings.hpp"

#include <memory>
#include <string>

//! The process beside each backend server instance.
namespace bilberrytally::node
{
//! A running node.
class node
{
public:
    //! Opens all ports and starts the workers.
    //! \p adapter is how the platform of the settings' store speaks.
    //! The settings are read again from \p file on SIGHUP and when the file
    //! changes; an empty name for settings that have no file.
    static base::result<std::unique_ptr<node>> start(
        const schema::node_settings& settings, const std::string& file,
        const platform_adapter& adapter);

    virtual ~node() = default;

    //! Serves until a planned stop has ended. The first SIGTERM or SIGINT
    //! drains, the second cuts what still runs. Returns the exit code.
    virtual int run() = 0;
};
} // namespace bilberrytally::node
