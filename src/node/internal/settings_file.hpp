#pragma once

#include "schema/settings.hpp"

#include <string>
#include <string_view>

namespace bilberrytally::node
{
//! How far a reload of the settings took effect.
enum class reload_kind
{
    unchanged,
    applied,  //!< All changes are in force.
    deferred, //!< Some changes need a restart of the process.
    rejected, //!< The file is unreadable or invalid; the old settings stay.
};

std::string_view to_string(reload_kind kind);

//! Result of a reload with its reason, for the log.
struct reload_outcome
{
    reload_kind kind{reload_kind::unchanged};
    //! Why the file was rejected, or what needs a restart.
    std::string detail;

    bool operator==(const reload_outcome&) const = default;
};

//! The settings file of a running node. Only the section [fleet] can change
//! without a restart.
class settings_file
{
public:
    //! \p file is empty if the settings have no file; nothing changes then.
    settings_file(schema::node_settings settings, std::string file);

    //! True if the file's text differs from the text that was read last.
    bool has_changed() const;

    //! Reads the file again and applies section [fleet]. An unreadable or
    //! invalid file is rejected.
    reload_outcome reload();

    const schema::node_settings& current() const;

private:
    std::string read_text() const;

    schema::node_settings settings;
    std::string file;
    std::string text;
};
} // namespace bilberrytally::node
