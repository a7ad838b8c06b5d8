#include "apps/command_line.hpp"
#include "ctl/commands.hpp"

#include <iostream>

namespace
{
using namespace bilberrytally;

constexpr std::int64_t ms_per_s = 1000;
constexpr const char* usage =
    "status | check FILE | in-force N | drain | undrain | timeline";

base::result<std::uint64_t>
parse_number(const std::string& place, const std::string& text)
{
    const bool digits =
        !text.empty() && text.size() < 16 &&
        text.find_first_not_of("0123456789") == std::string::npos;
    if (!digits)
    {
        return base::fail(place, "expected a whole number, not '" + text + "'");
    }
    return std::stoull(text);
}

base::result<int> run_in_force(
    const app::command_line& line, ctl::admin_client& client,
    const std::string& argument)
{
    BOOST_LEAF_AUTO(number, parse_number("in-force", argument));
    BOOST_LEAF_AUTO(seconds, parse_number("--wait", line.value("wait", "0")));
    const base::duration_ms wait{static_cast<std::int64_t>(seconds) * ms_per_s};
    return ctl::wait_until_in_force(client, number, wait, std::cout, std::cerr);
}

base::result<int>
run_command(const app::command_line& line, ctl::admin_client& client)
{
    const auto& arguments = line.arguments();
    const auto& command = arguments.front();
    const auto argument = arguments.size() > 1 ? arguments[1] : std::string();
    if (command == "status")
    {
        return ctl::show_status(client, line.has("json"), std::cout);
    }
    if (command == "in-force")
    {
        return run_in_force(line, client, argument);
    }
    if (command == "drain" || command == "undrain")
    {
        return ctl::set_draining(client, command == "drain", std::cout);
    }
    if (command == "timeline")
    {
        return ctl::show_timeline(
            client,
            {line.value("kind"), line.value("request"), line.has("follow")},
            std::cout);
    }
    return base::fail(command, std::string("expected ") + usage);
}

base::result<int> run(int argc, const char** argv)
{
    BOOST_LEAF_AUTO(
        line,
        app::command_line::parse(
            argc, argv,
            {{"nodes", 'n', "Admin API addresses of the nodes",
              "HOST:PORT,..."},
             {"token", 't', "Bearer token of the admin API", "TOKEN"},
             {"json", 'j', "status: print JSON", ""},
             {"wait", 'w', "in-force: longest time to wait", "SECONDS"},
             {"kind", 'k', "timeline: show only this kind of event", "KIND"},
             {"request", 'r', "timeline: show only this root request or call",
              "HEX"},
             {"follow", 'f', "timeline: keep polling for new events", ""}},
            usage));
    if (line.arguments().empty())
    {
        return base::fail("command line", std::string("expected ") + usage);
    }
    const bool check = line.arguments().front() == "check";
    if (check && line.arguments().size() < 2)
    {
        return base::fail("check", "expected a ticket file");
    }
    if (check && !line.has("nodes"))
    {
        return ctl::check_ticket(nullptr, line.arguments()[1], std::cout);
    }
    BOOST_LEAF_AUTO(nodes, ctl::admin_address::parse_list(line.value("nodes")));
    ctl::admin_client client(std::move(nodes), line.value("token"));
    if (check)
    {
        return ctl::check_ticket(&client, line.arguments()[1], std::cout);
    }
    return run_command(line, client);
}
} // namespace

int main(int argc, const char** argv)
{
    return base::handle(
        [&] { return run(argc, argv); },
        [](const base::error& failure)
        {
            std::cerr << "bilberrytally-ctl: " << failure.text() << '\n';
            return app::exit_usage;
        });
}
