#pragma once

#include "base/time.hpp"
#include "directory/dialect.hpp"
#include "http/http_types.hpp"
#include "schema/documents.hpp"
#include "schema/messages.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace bilberrytally::node
{
//! Header by which each answer says whether the request may have run.
constexpr std::string_view verdict_header = "Bilberrytally-Verdict";
//! Deadline of a request, ms from its sending.
constexpr std::string_view timeout_header = "x-request-timeout-ms";
constexpr std::string_view key_header = "idempotency-key";
//! The caller's number for a send with the same key, 1 for the first.
constexpr std::string_view attempt_header = "idempotency-attempt";
//! Fresh key for a later request, on any answer.
constexpr std::string_view next_key_header = "Idempotency-Key-Next";
constexpr std::string_view trace_parent_header = "traceparent";
constexpr std::string_view trace_state_header = "tracestate";
//! Member of tracestate that names the call at its target's node.
constexpr std::string_view trace_member = "bilberrytally=";

//! Service named by the Host header, without the port.
std::string service_of(const http::request& request);

//! Route policy of a request; the longest matching prefix counts. An unknown
//! route is not repeatable.
schema::route_policy
find_route(const schema::service_policy& policy, const http::request& request);

//! Unsigned number in a header; nothing where absent or wrong.
std::optional<std::uint64_t>
number_header(const http::header_list& headers, std::string_view name);

//! Call id in tracestate; nothing where absent or wrong.
std::optional<std::uint64_t> call_of_trace(const http::header_list& headers);

//! traceparent for a call whose caller gave none (W3C).
std::string trace_parent_for(std::uint64_t root, std::uint64_t call);

//! tracestate with the member for a call put first.
std::string trace_state_for(std::uint64_t call, std::string_view present);

//! Headers of a request that go on to a target of a platform's fleet.
http::header_list routed_headers(
    const http::header_list& headers, const directory::dialect& names);

//! Answer for a caller of a platform's fleet: a served one unchanged, 503 with
//! Retry-After where the request did not run, 502 or 504 else.
http::response
to_routed_response(const schema::answer& answer, base::duration_ms retry_after);

//! Headers that are passed on to the backend server.
http::header_list end_to_end_headers(const http::header_list& headers);

//! HTTP answer with verdict, problem body (RFC 9457) and Retry-After.
http::response
to_response(const schema::answer& answer, base::duration_ms retry_after);

//! Problem answer that is not the outcome of a call.
http::response
problem(std::uint32_t status, std::string_view title, std::string_view detail);

//! HTTP status of a refusal.
std::uint32_t status_of(const schema::answer& answer);
} // namespace bilberrytally::node
