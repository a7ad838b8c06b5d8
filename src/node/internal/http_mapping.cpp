#include "node/internal/http_mapping.hpp"

#include "base/hash.hpp"
#include "base/verdict.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace bilberrytally::node
{
namespace
{
constexpr std::uint32_t bad_gateway = 502;
constexpr std::uint32_t too_many_requests = 429;
constexpr std::uint32_t unavailable = 503;
constexpr std::uint32_t gateway_timeout = 504;
constexpr std::int64_t ms_per_s = 1000;

bool is_node_header(std::string_view name)
{
    return name == timeout_header || name == trace_parent_header ||
           name == trace_state_header || name == "host";
}

//! True if \p name is in the comma-separated list \p listed, the value of a
//! Connection header. Ignores case.
bool is_named_in(std::string_view listed, std::string_view name)
{
    while (!listed.empty())
    {
        const auto comma = listed.find(',');
        auto item = listed.substr(0, comma);
        listed = comma == std::string_view::npos ? std::string_view{}
                                                 : listed.substr(comma + 1);
        while (item.starts_with(' '))
        {
            item.remove_prefix(1);
        }
        const bool same = item.size() == name.size() &&
                          std::equal(
                              item.begin(), item.end(), name.begin(),
                              [](unsigned char a, unsigned char b)
                              { return std::tolower(a) == std::tolower(b); });
        if (same)
        {
            return true;
        }
    }
    return false;
}

http::response problem_response(
    std::uint32_t status, std::string_view title, std::string_view detail,
    std::string_view verdict, std::string_view reason)
{
    const nlohmann::json body{{"type", "about:blank"}, {"title", title},
                              {"status", status},      {"detail", detail},
                              {"verdict", verdict},    {"reason", reason}};
    http::response response;
    response.status = status;
    response.headers = {
        {"Content-Type", "application/problem+json"},
        {std::string(verdict_header), std::string(verdict)}};
    response.body = body.dump();
    return response;
}

//! The whole value of a header as a number; nothing where absent or malformed.
template <class Number>
std::optional<Number>
parse_header(const http::header_list& headers, std::string_view name)
{
    const auto text = http::find_header(headers, name);
    Number number{};
    const auto* end = text.data() + text.size();
    const auto [parsed_end, status] = std::from_chars(text.data(), end, number);
    const bool complete =
        status == std::errc{} && parsed_end == end && !text.empty();
    return complete ? std::optional(number) : std::nullopt;
}
} // namespace

std::string service_of(const http::request& request)
{
    const auto host = http::find_header(request.headers, "host");
    return std::string(host.substr(0, host.rfind(':')));
}

schema::route_policy
find_route(const schema::service_policy& policy, const http::request& request)
{
    schema::route_policy best;
    best.key_required = false;
    std::size_t longest = 0;
    for (const auto& route : policy.routes)
    {
        const bool method =
            route.method == "*" || route.method == request.method;
        const bool path = request.target.starts_with(route.path_prefix);
        if (method && path && route.path_prefix.size() > longest)
        {
            longest = route.path_prefix.size();
            best = route;
        }
    }
    return best;
}

std::optional<std::uint64_t>
parse_number_header(const http::header_list& headers, std::string_view name)
{
    return parse_header<std::uint64_t>(headers, name);
}

std::optional<double>
parse_decimal_header(const http::header_list& headers, std::string_view name)
{
    return parse_header<double>(headers, name);
}

bool states_leaving(
    const http::header_list& headers,
    const directory::header_names& platform_headers)
{
    return http::find_header(headers, platform_headers.leaving) == "1";
}

std::optional<std::uint64_t>
call_id_from_trace(const http::header_list& headers)
{
    const auto state = http::find_header(headers, trace_state_header);
    const auto position = state.find(trace_member);
    if (position == std::string_view::npos)
    {
        return std::nullopt;
    }
    constexpr std::size_t digits = 16;
    constexpr int hexadecimal = 16;
    const auto text = state.substr(position + trace_member.size(), digits);
    std::uint64_t id = 0;
    const auto* end = text.data() + text.size();
    const auto [parsed_end, status] =
        std::from_chars(text.data(), end, id, hexadecimal);
    const bool complete = status == std::errc{} && parsed_end == end;
    return complete ? std::optional(id) : std::nullopt;
}

std::string trace_parent_for(std::uint64_t root, std::uint64_t call)
{
    return "00-" + base::to_hex(base::combine(root, 0)) + base::to_hex(root) +
           "-" + base::to_hex(call) + "-01";
}

std::string trace_state_for(std::uint64_t call, std::string_view existing)
{
    std::string state(trace_member);
    state += base::to_hex(call);
    while (!existing.empty())
    {
        const auto comma = existing.find(',');
        const auto member = existing.substr(0, comma);
        existing = comma == std::string_view::npos ? std::string_view{}
                                                   : existing.substr(comma + 1);
        if (member.find(trace_member) == std::string_view::npos)
        {
            state += ',';
            state += member;
        }
    }
    return state;
}

http::header_list end_to_end_headers(const http::header_list& headers)
{
    http::header_list kept;
    for (const auto& header : headers)
    {
        if (!http::is_hop_by_hop(header.name) && !is_node_header(header.name))
        {
            kept.push_back(header);
        }
    }
    return kept;
}

std::optional<std::string> access_key_of(const http::header_list& headers)
{
    constexpr std::string_view scheme = "bearer";
    const auto value = http::find_header(headers, authorization_header);
    if (value.empty())
    {
        return std::nullopt;
    }
    const auto space = value.find(' ');
    const auto named = value.substr(0, space);
    const bool is_bearer =
        named.size() == scheme.size() && is_named_in(named, scheme);
    const auto start = space == std::string_view::npos
                           ? std::string_view::npos
                           : value.find_first_not_of(' ', space);
    if (!is_bearer || start == std::string_view::npos)
    {
        return std::string();
    }
    return std::string(value.substr(start));
}

http::header_list routed_headers(
    const http::header_list& headers,
    const directory::header_names& platform_headers, bool with_access)
{
    const auto connection_value = http::find_header(headers, "connection");
    http::header_list kept;
    for (const auto& header : headers)
    {
        const bool set_by_node =
            header.name == platform_headers.timeout ||
            header.name == platform_headers.expected_instance ||
            header.name == platform_headers.caller_service;
        const bool states_access =
            with_access && (header.name == authorization_header ||
                            header.name == platform_headers.workspace);
        if (!set_by_node && !states_access &&
            !http::is_hop_by_hop(header.name) &&
            !is_named_in(connection_value, header.name))
        {
            kept.push_back(header);
        }
    }
    return kept;
}

http::response
to_routed_response(schema::answer answer, base::duration_ms retry_after)
{
    http::response response;
    const auto verdict = static_cast<base::verdict>(answer.verdict);
    if (verdict == base::verdict::ran)
    {
        response.status = answer.status;
        response.body = std::move(answer.body);
        response.headers = end_to_end_headers(answer.headers);
        return response;
    }
    response.headers.push_back({"Content-Type", "text/plain"});
    response.body = schema::to_string(answer.reason);
    if (verdict == base::verdict::not_run)
    {
        response.status = answer.reason == schema::refusal::quota
                              ? too_many_requests
                              : unavailable;
        response.headers.push_back(
            {"Retry-After",
             fmt::format(
                 "{:.2f}", static_cast<double>(retry_after.count) /
                               static_cast<double>(ms_per_s))});
        return response;
    }
    response.status = answer.reason == schema::refusal::timeout ||
                              answer.reason == schema::refusal::deadline
                          ? gateway_timeout
                          : bad_gateway;
    return response;
}

std::uint32_t status_of(const schema::answer& answer)
{
    using schema::refusal;
    switch (answer.reason)
    {
    case refusal::deadline:
    case refusal::timeout:
        return 504;
    case refusal::connection_lost:
    case refusal::protocol:
        return 502;
    case refusal::duplicate:
    case refusal::key_home_gone:
        return 409;
    case refusal::key_unknown:
        return answer.verdict ==
                       static_cast<std::uint32_t>(base::verdict::not_run)
                   ? 400
                   : 409;
    case refusal::key_mismatch:
        return 422;
    default:
        return unavailable;
    }
}

http::response to_response(schema::answer answer, base::duration_ms retry_after)
{
    const auto verdict = static_cast<base::verdict>(answer.verdict);
    if (verdict == base::verdict::ran)
    {
        http::response response;
        response.status = answer.status;
        response.body = std::move(answer.body);
        response.headers = end_to_end_headers(answer.headers);
        response.headers.push_back(
            {std::string(verdict_header),
             std::string(base::to_string(verdict))});
        return response;
    }
    const auto reason = schema::to_string(answer.reason);
    auto response = problem_response(
        status_of(answer),
        verdict == base::verdict::not_run ? "request was not run"
                                          : "request may have run",
        reason, base::to_string(verdict), reason);
    if (response.status == unavailable)
    {
        const auto seconds = (retry_after.count + ms_per_s - 1) / ms_per_s;
        response.headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    return response;
}

http::response make_problem_response(
    std::uint32_t status, std::string_view title, std::string_view detail)
{
    return problem_response(status, title, detail, "not_run", "none");
}
} // namespace bilberrytally::node
