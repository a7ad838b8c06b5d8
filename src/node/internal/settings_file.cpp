#include "node/internal/settings_file.hpp"

#include <fstream>
#include <sstream>
#include <utility>

namespace bilberrytally::node
{
std::string_view to_string(reload_kind kind)
{
    switch (kind)
    {
    case reload_kind::unchanged:
        return "unchanged";
    case reload_kind::applied:
        return "applied";
    case reload_kind::deferred:
        return "deferred";
    case reload_kind::rejected:
        return "rejected";
    }
    return "unknown";
}

settings_file::settings_file(schema::node_settings settings, std::string file)
    : settings(std::move(settings)), file(std::move(file)),
      text(this->read_text())
{
}

std::string settings_file::read_text() const
{
    if (this->file.empty())
    {
        return {};
    }
    std::ostringstream content;
    content << std::ifstream(this->file).rdbuf();
    return std::move(content).str();
}

bool settings_file::has_changed() const
{
    return this->read_text() != this->text;
}

reload_outcome settings_file::reload()
{
    this->text = this->read_text();
    if (this->file.empty())
    {
        return {};
    }
    return base::handle(
        [&]() -> base::result<reload_outcome>
        {
            BOOST_LEAF_AUTO(
                new_settings, schema::read_node_settings(this->file));
            if (new_settings == this->settings)
            {
                return reload_outcome{};
            }
            this->settings.fleet = new_settings.fleet;
            const bool fully_applied = new_settings == this->settings;
            return reload_outcome{
                fully_applied ? reload_kind::applied : reload_kind::deferred,
                fully_applied
                    ? ""
                    : "only section [fleet] changes without a restart"};
        },
        [](const base::error& failure) {
            return reload_outcome{reload_kind::rejected, failure.text()};
        });
}

const schema::node_settings& settings_file::current() const
{
    return this->settings;
}
} // namespace bilberrytally::node
