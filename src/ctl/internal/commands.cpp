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
constexpr unsigned counter_bits = 16;
constexpr std::uint64_t ms_per_s = 1000;

//! Prints the nodes that gave no answer; true if all answered.
bool report_failures(
    const std::vector<admin_answer>& answers, std::ostream& out)
{
    bool all = true;
    for (const auto& answer : answers)
    {
        if (!answer.body)
        {
            out << answer.node.text() << ": " << answer.failure << '\n';
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

bool is_wanted(const nlohmann::json& event, const timeline_filter& filter)
{
    const bool kind = filter.kind.empty() || event.at("kind") == filter.kind;
    const bool request = filter.request.empty() ||
                         event.at("root") == filter.request ||
                         event.at("call") == filter.request;
    return kind && request;
}

//! Reads events after the last seen ones of each node.
std::vector<nlohmann::json> read_events(
    admin_client& client, const timeline_filter& filter,
    std::map<std::string, std::uint64_t>& last, bool& all_answered)
{
    const auto after =
        last.empty() ? 0
                     : std::min_element(
                           last.begin(), last.end(),
                           [](auto& a, auto& b) { return a.second < b.second; })
                           ->second;
    const auto answers = client.ask(
        "GET", "/v1/timeline?most=20000&after=" + std::to_string(after));
    std::vector<nlohmann::json> events;
    for (const auto& answer : answers)
    {
        all_answered &= answer.body.has_value();
        if (!answer.body)
        {
            continue;
        }
        auto& seen = last[answer.node.text()];
        for (const auto& event : *answer.body)
        {
            const auto time = event.at("time").get<std::uint64_t>();
            if (time > seen && is_wanted(event, filter))
            {
                events.push_back(event);
            }
        }
        if (!answer.body->empty())
        {
            seen = std::max(
                seen, answer.body->back().at("time").get<std::uint64_t>());
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
    const auto answers = client.ask("GET", "/v1/status");
    if (json)
    {
        auto rows = nlohmann::json::array();
        for (const auto& answer : answers)
        {
            rows.push_back(
                answer.body ? *answer.body
                            : nlohmann::json{
                                  {"node", answer.node.text()},
                                  {"failure", answer.failure}});
        }
        out << rows.dump(2) << '\n';
    }
    else
    {
        const std::vector<const char*> keys{
            "instance",  "service", "zone",  "highest_ticket",
            "in_flight", "limit",   "floor", "draining"};
        print_row(out, {keys.begin(), keys.end()});
        for (const auto& answer : answers)
        {
            std::vector<std::string> cells;
            cells.reserve(keys.size());
            for (const auto* key : keys)
            {
                cells.push_back(answer.body ? text_of(*answer.body, key) : "-");
            }
            print_row(out, cells);
        }
        report_failures(answers, out);
    }
    const bool all = std::all_of(
        answers.begin(), answers.end(),
        [](const auto& answer) { return answer.body.has_value(); });
    return all ? exit_done : exit_no;
}

int show_in_force(
    admin_client& client, std::uint64_t number, base::duration_ms wait,
    std::ostream& out, std::ostream& progress)
{
    const auto end = base::now() + wait;
    while (true)
    {
        const auto answers = client.ask("GET", "/v1/status");
        std::vector<std::string> missing;
        for (const auto& answer : answers)
        {
            const bool has =
                answer.body &&
                answer.body->at("highest_ticket").get<std::uint64_t>() >=
                    number;
            if (!has)
            {
                missing.push_back(
                    answer.body ? text_of(*answer.body, "instance")
                                : answer.node.text() + " " + answer.failure);
            }
        }
        progress << "\rin force on " << answers.size() - missing.size()
                 << " of " << answers.size() << " nodes" << std::flush;
        if (missing.empty() || base::now() >= end)
        {
            progress << '\n';
            for (const auto& name : missing)
            {
                out << "missing: " << name << '\n';
            }
            return missing.empty() ? exit_done : exit_no;
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
    const auto answers = client->ask("GET", "/v1/tickets");
    const auto answered = std::find_if(
        answers.begin(), answers.end(),
        [](const auto& answer) { return answer.body.has_value(); });
    if (answered == answers.end())
    {
        report_failures(answers, out);
        return exit_no;
    }
    for (const auto& line : describe_changes(ticket, *answered->body))
    {
        out << line << '\n';
    }
    return exit_done;
}

int set_draining(admin_client& client, bool draining, std::ostream& out)
{
    const auto answers =
        client.ask("POST", draining ? "/v1/drain" : "/v1/undrain");
    for (const auto& answer : answers)
    {
        if (answer.body)
        {
            out << answer.node.text() << ": "
                << (draining ? "draining" : "serving") << '\n';
        }
    }
    return report_failures(answers, out) ? exit_done : exit_no;
}

int show_timeline(
    admin_client& client, const timeline_filter& filter, std::ostream& out)
{
    std::map<std::string, std::uint64_t> last;
    bool all_answered = true;
    do
    {
        for (const auto& event :
             read_events(client, filter, last, all_answered))
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
    return all_answered ? exit_done : exit_no;
}
} // namespace bilberrytally::ctl
