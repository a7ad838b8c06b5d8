#include "ctl/commands.hpp"

#include "ctl/ticket_check.hpp"

#include <algorithm>
#include <iomanip>
#include <map>
#include <ostream>
#include <thread>

namespace bilberrytally::ctl
{
namespace
{
constexpr std::chrono::milliseconds poll_interval{100};
constexpr std::chrono::milliseconds follow_interval{500};
//! The low bits of a logical time are a counter, the others are the wall clock
//! in ms.
constexpr unsigned counter_bits = 16;
constexpr std::uint64_t ms_per_s = 1000;

//! Prints the nodes whose request failed; true if none failed.
bool report_failures(
    const std::vector<admin_response>& responses, std::ostream& out)
{
    bool all = true;
    for (const auto& response : responses)
    {
        if (!response.body)
        {
            out << response.node.text() << ": " << response.failure << '\n';
            all = false;
        }
    }
    return all;
}

void print_row(std::ostream& out, const std::vector<std::string>& cells)
{
    constexpr int cell_width = 14;
    for (const auto& cell : cells)
    {
        out << std::left << std::setw(cell_width) << cell << ' ';
    }
    out << '\n';
}

std::string text_of(const nlohmann::json& body, const char* key)
{
    const auto& value = body.at(key);
    return value.is_string() ? value.get<std::string>() : value.dump();
}

//! Formats a logical time as seconds.milliseconds+counter.
std::string time_text(std::uint64_t logical)
{
    const auto wall_ms = logical >> counter_bits;
    const auto counter = logical & ((1U << counter_bits) - 1);
    std::string ms = std::to_string(wall_ms % ms_per_s);
    ms.insert(0, 3 - ms.size(), '0');
    std::string count = std::to_string(counter);
    count.insert(0, 5 - count.size(), '0');
    return std::to_string(wall_ms / ms_per_s) + "." + ms + "+" + count;
}

bool matches(const nlohmann::json& event, const timeline_filter& filter)
{
    const bool kind = filter.kind.empty() || event.at("kind") == filter.kind;
    const bool request = filter.request.empty() ||
                         event.at("root") == filter.request ||
                         event.at("call") == filter.request;
    return kind && request;
}

//! Reads the events that match the filter and are later than the last ones read
//! from their node, sorted by logical time. \p last holds the time of the last
//! event per node and is updated. Clears \p all_responded if a node fails.
std::vector<nlohmann::json> read_events(
    admin_client& client, const timeline_filter& filter,
    std::map<std::string, std::uint64_t>& last, bool& all_responded)
{
    const auto after =
        last.empty() ? 0
                     : std::min_element(
                           last.begin(), last.end(),
                           [](auto& a, auto& b) { return a.second < b.second; })
                           ->second;
    const auto responses = client.request_all(
        "GET", "/v1/timeline?most=20000&after=" + std::to_string(after));
    std::vector<nlohmann::json> events;
    for (const auto& response : responses)
    {
        all_responded &= response.body.has_value();
        if (!response.body)
        {
            continue;
        }
        auto& seen = last[response.node.text()];
        for (const auto& event : *response.body)
        {
            const auto time = event.at("time").get<std::uint64_t>();
            if (time > seen && matches(event, filter))
            {
                events.push_back(event);
            }
        }
        if (!response.body->empty())
        {
            seen = std::max(
                seen, response.body->back().at("time").get<std::uint64_t>());
        }
    }
    std::stable_sort(
        events.begin(), events.end(),
        [](auto& a, auto& b) { return a.at("time") < b.at("time"); });
    return events;
}
} // namespace

int show_status(admin_client& client, bool json, std::ostream& out)
{
    const auto responses = client.request_all("GET", "/v1/status");
    if (json)
    {
        auto rows = nlohmann::json::array();
        for (const auto& response : responses)
        {
            rows.push_back(
                response.body ? *response.body
                              : nlohmann::json{
                                    {"node", response.node.text()},
                                    {"failure", response.failure}});
        }
        out << rows.dump(2) << '\n';
    }
    else
    {
        const std::vector<const char*> keys{
            "instance",  "service", "zone",  "highest_ticket",
            "in_flight", "limit",   "floor", "draining"};
        print_row(out, {keys.begin(), keys.end()});
        for (const auto& response : responses)
        {
            std::vector<std::string> cells;
            cells.reserve(keys.size());
            for (const auto* key : keys)
            {
                cells.push_back(
                    response.body ? text_of(*response.body, key) : "-");
            }
            print_row(out, cells);
        }
        report_failures(responses, out);
    }
    const bool all = std::all_of(
        responses.begin(), responses.end(),
        [](const auto& response) { return response.body.has_value(); });
    return all ? exit_done : exit_failed;
}

int wait_until_in_force(
    admin_client& client, std::uint64_t number, base::duration_ms wait,
    std::ostream& out, std::ostream& progress)
{
    const auto end = base::now() + wait;
    while (true)
    {
        const auto responses = client.request_all("GET", "/v1/status");
        std::vector<std::string> missing;
        for (const auto& response : responses)
        {
            const bool has =
                response.body &&
                response.body->at("highest_ticket").get<std::uint64_t>() >=
                    number;
            if (!has)
            {
                missing.push_back(
                    response.body
                        ? text_of(*response.body, "instance")
                        : response.node.text() + " " + response.failure);
            }
        }
        progress << "\rticket in force on " << responses.size() - missing.size()
                 << " of " << responses.size() << " nodes" << std::flush;
        if (missing.empty() || base::now() >= end)
        {
            progress << '\n';
            for (const auto& name : missing)
            {
                out << "not in force: " << name << '\n';
            }
            return missing.empty() ? exit_done : exit_failed;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

base::result<int>
check_ticket(admin_client* client, const std::string& file, std::ostream& out)
{
    BOOST_LEAF_AUTO(ticket, read_ticket(file));
    out << file << ": valid, ticket " << ticket.number << '\n';
    if (client == nullptr)
    {
        return exit_done;
    }
    const auto responses = client->request_all("GET", "/v1/tickets");
    const auto responded = std::find_if(
        responses.begin(), responses.end(),
        [](const auto& response) { return response.body.has_value(); });
    if (responded == responses.end())
    {
        report_failures(responses, out);
        return exit_failed;
    }
    for (const auto& line : describe_changes(ticket, *responded->body))
    {
        out << line << '\n';
    }
    return exit_done;
}

int set_draining(admin_client& client, bool draining, std::ostream& out)
{
    const auto responses =
        client.request_all("POST", draining ? "/v1/drain" : "/v1/undrain");
    for (const auto& response : responses)
    {
        if (response.body)
        {
            out << response.node.text() << ": "
                << (draining ? "draining" : "serving") << '\n';
        }
    }
    return report_failures(responses, out) ? exit_done : exit_failed;
}

int show_timeline(
    admin_client& client, const timeline_filter& filter, std::ostream& out)
{
    std::map<std::string, std::uint64_t> last;
    bool all_responded = true;
    do
    {
        for (const auto& event :
             read_events(client, filter, last, all_responded))
        {
            out << time_text(event.at("time").get<std::uint64_t>()) << ' '
                << text_of(event, "node") << ' ' << text_of(event, "kind")
                << " root=" << text_of(event, "root")
                << " call=" << text_of(event, "call")
                << " subject=" << text_of(event, "subject") << ' '
                << text_of(event, "detail") << std::endl;
        }
        if (filter.follow)
        {
            std::this_thread::sleep_for(follow_interval);
        }
    } while (filter.follow);
    return all_responded ? exit_done : exit_failed;
}
} // namespace bilberrytally::ctl
