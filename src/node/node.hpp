#pragma once

#include "base/error.hpp"
#include "node/platform_adapter.hpp"
#include "schema/settings.hpp"

#include <memory>
#include <string>

//! The node: the process that runs beside each backend server instance.
namespace bilberrytally::node
{
//! A running node. Owns its ports, worker threads and shared tables.
class node
{
public:
    //! Opens all ports and starts the worker threads. \p adapter reads the
    //! store named in the settings. The settings are reloaded from \p file on
    //! SIGHUP and when the file changes; \p file is empty if the settings have
    //! no file. Fails if a port cannot be opened or a setting is invalid.
    static base::result<std::unique_ptr<node>> start(
        const schema::node_settings& settings, const std::string& file,
        const platform_adapter& adapter);

    virtual ~node() = default;

    //! Blocks until a planned stop has ended. The first SIGTERM or SIGINT
    //! starts draining, the second one abandons the calls that still run.
    //! Returns the exit code: 0 after a complete drain, 3 if calls were
    //! abandoned.
    virtual int run() = 0;
};
} // namespace bilberrytally::node
