#include "replay/trace.hpp"

#include <fstream>
#include <limits>

namespace bilberrytally::replay
{
namespace
{
using nlohmann::json;

std::string line_place(const std::string& file, std::size_t line)
{
    return file + ":" + std::to_string(line);
}

//! Parses an event line, without its time.
base::result<trace_action>
parse_action(const json& row, const std::string& place)
{
    const auto kind = row.value("kind", "");
    if (kind == "arrive")
    {
        return arrival{
            row.value("priority", 0U),
            row.value("depth", 0U),
            {row.at("timeout_ms").get<std::int64_t>()},
            {row.at("service_ms").get<std::int64_t>()},
            row.value("long", false),
            row.value("count", 1U)};
    }
    if (kind == "slow")
    {
        return slow_down{
            row.at("target").get<std::string>(),
            row.at("factor").get<double>()};
    }
    if (kind == "fail" || kind == "return")
    {
        return availability_change{
            row.at("target").get<std::string>(), kind == "return"};
    }
    if (kind == "policy")
    {
        BOOST_LEAF_AUTO(
            policy,
            schema::parse_service_policy(row.at("policy"), place + " policy"));
        return policy_change{std::move(policy)};
    }
    return base::fail(
        place, "expected kind arrive, slow, fail, return or policy");
}

//! Parses the first line of a trace file.
base::result<trace> parse_header(const json& row, const std::string& place)
{
    trace result;
    result.name = row.at("name").get<std::string>();
    result.targets = row.at("targets").get<std::uint32_t>();
    BOOST_LEAF_ASSIGN(
        result.policy,
        schema::parse_service_policy(row.at("policy"), place + " policy"));
    for (const auto& item : row.at("outcomes"))
    {
        result.outcomes.push_back(
            {item.at("figure").get<std::string>(),
             item.value("at_least", std::numeric_limits<double>::lowest()),
             item.value("at_most", std::numeric_limits<double>::max())});
    }
    return result;
}

//! Parses a line into \p result: the first line is the header, the others are
//! events.
base::result<void>
parse_line(const std::string& text, const std::string& place, trace& result)
{
    const auto row = json::parse(text);
    if (result.name.empty())
    {
        BOOST_LEAF_ASSIGN(result, parse_header(row, place));
        return {};
    }
    BOOST_LEAF_AUTO(action, parse_action(row, place));
    const base::time_ms at{row.at("at").get<std::int64_t>()};
    if (!result.events.empty() && at < result.events.back().at)
    {
        return base::fail(place, "expected events in chronological order");
    }
    result.events.push_back({at, std::move(action)});
    return {};
}
} // namespace

base::result<trace> trace::read(const std::string& file)
{
    std::ifstream stream(file);
    if (!stream)
    {
        return base::fail(file, "cannot read the file");
    }
    trace result;
    std::string text;
    for (std::size_t line = 1; std::getline(stream, text); ++line)
    {
        const auto place = line_place(file, line);
        try
        {
            BOOST_LEAF_CHECK(parse_line(text, place, result));
        }
        catch (const json::exception& exception)
        {
            return base::fail(place, exception.what());
        }
    }
    if (result.name.empty())
    {
        return base::fail(line_place(file, 1), "expected a header line");
    }
    return result;
}
} // namespace bilberrytally::replay
