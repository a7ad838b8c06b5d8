#pragma once

#include "base/time.hpp"
#include "directory/header_names.hpp"
#include "http/http_types.hpp"
#include "schema/documents.hpp"
#include "schema/messages.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace bilberrytally::node
{
//! Header of each response outside routed mode that says whether the request
//! may have run.
constexpr std::string_view verdict_header = "Bilberrytally-Verdict";
//! Time until the deadline of a request, in ms from when it was sent.
constexpr std::string_view timeout_header = "x-request-timeout-ms";
//! Idempotency key of a request.
constexpr std::string_view key_header = "idempotency-key";
//! Number of this send with the same key, given by the caller; 1 for the first.
constexpr std::string_view send_number_header = "idempotency-attempt";
//! New key for a later request, on each response to a request with a key.
constexpr std::string_view next_key_header = "Idempotency-Key-Next";
constexpr std::string_view trace_parent_header = "traceparent";
constexpr std::string_view trace_state_header = "tracestate";
constexpr std::string_view authorization_header = "authorization";
//! Member of tracestate that holds the id of the inbound call at the target's
//! node, in 16 hexadecimal digits.
constexpr std::string_view trace_member = "bilberrytally=";

//! Service name in the Host header, without the port.
std::string service_of(const http::request& request);

//! Route policy of a request: the one with the longest matching path prefix. A
//! request without a matching route is not repeatable and needs no key.
schema::route_policy
find_route(const schema::service_policy& policy, const http::request& request);

//! Unsigned decimal number in a header; nothing where absent or malformed.
std::optional<std::uint64_t>
parse_number_header(const http::header_list& headers, std::string_view name);

//! Decimal number, possibly with a fraction, in a header; nothing where absent
//! or malformed.
std::optional<double>
parse_decimal_header(const http::header_list& headers, std::string_view name);

//! True if a response says that the target which made it is leaving.
bool states_leaving(
    const http::header_list& headers,
    const directory::header_names& platform_headers);

//! Call id in tracestate; nothing where absent or malformed.
std::optional<std::uint64_t>
call_id_from_trace(const http::header_list& headers);

//! W3C traceparent for a call whose caller sent none.
std::string trace_parent_for(std::uint64_t root, std::uint64_t call);

//! W3C tracestate with the member for \p call put first, followed by the other
//! members of \p existing.
std::string trace_state_for(std::uint64_t call, std::string_view existing);

//! The access key that a request carries as a bearer token; empty if its
//! Authorization header holds no bearer token, nothing if it has no such
//! header.
std::optional<std::string> access_key_of(const http::header_list& headers);

//! Headers of a request that are passed on to a target in routed mode. Left out
//! are hop-by-hop headers, those named in Connection, and the time-out,
//! expected-instance and caller-service headers of the platform. Those that
//! state an access key or a workspace are left out if \p with_access is set.
http::header_list routed_headers(
    const http::header_list& headers,
    const directory::header_names& platform_headers, bool with_access);

//! Response to a caller in routed mode: that of the backend server with its
//! end_to_end_headers(), 503 with Retry-After where the request did not run
//! (429 if it exceeds a quota),
//! else 502, or 504 after a time-out.
http::response
to_routed_response(schema::answer answer, base::duration_ms retry_after);

//! Headers of a request outside routed mode, or of a response in either mode,
//! that are passed on. Left out are hop-by-hop, time-out, trace and Host
//! headers.
http::header_list end_to_end_headers(const http::header_list& headers);

//! HTTP response with the verdict header; for a request that was not served
//! also a problem document (RFC 9457), and Retry-After with status 503.
http::response
to_response(schema::answer answer, base::duration_ms retry_after);

//! Response with a problem document for a request that did not become a call.
http::response make_problem_response(
    std::uint32_t status, std::string_view title, std::string_view detail);

//! HTTP status for a call that was not served.
std::uint32_t status_of(const schema::answer& answer);
} // namespace bilberrytally::node
