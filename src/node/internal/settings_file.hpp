#pragma once

#include "schema/settings.hpp"

#include <string>
#include <string_view>

namespace bilberrytally::node
{
//! What reading the settings again came to.
enum class reload_kind
{
    unchanged,
    applied,  //!< All changes are in force.
    deferred, //!< Some changes need a restart of the process.
    rejected, //!< The file is wrong; the old settings stay.
};

std::string_view to_string(reload_kind kind);

//! Outcome of a reload, for the log.
struct reload_outcome
{
    reload_kind kind{reload_kind::unchanged};
    //! Why the file was rejected, or what needs a restart.
    std::string detail;

    bool operator==(const reload_outcome&) const = default;
};

//! The settings' file while the node runs. Only the fleet's bounds can change
//! without a restart.
class settings_file
{
public:
    //! \p file may be empty: nothing ever changes then.
    settings_file(schema::node_settings settings, std::string file);

    //! The file's text differs from the one read last.
    bool has_changed() const;

    reload_outcome read_again();

    const schema::node_settings& current() const;

private:
    std::string read_text() const;

    schema::node_settings settings;
    std::string file;
    std::string text;
};
} // namespace bilberrytally::node
