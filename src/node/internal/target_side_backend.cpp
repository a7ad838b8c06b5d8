#include "node/internal/http_mapping.hpp"
#include "node/internal/target_side.hpp"

#include <algorithm>
#include <array>

// The part of target_side that runs calls at the backend server.
namespace bilberrytally::node
{
namespace
{
using schema::refusal;

constexpr double ms_per_s = 1000;
constexpr std::uint32_t first_success_status = 200;
constexpr std::uint32_t first_redirect_status = 300;
constexpr std::uint32_t first_server_error_status = 500;
//! A backend server that fails because of a nested call responds within this
//! time after the nested call failed.
constexpr base::duration_ms failure_propagation_time{25};
constexpr std::uint32_t misdirected_status = 421;
//! Statuses that tell a caller that its request did not run.
constexpr std::array<std::uint32_t, 3> not_run_statuses{408, 429, 503};
constexpr base::duration_ms baseline_timeout{60000};

//! Reads the HTTP response of a backend server whose platform publishes it in a
//! store. A response counts only if it belongs to this request, as \c ran only
//! if it is not encoded, has the backend server's signature in case of success,
//! and does not have a status which means that the request did not run.
schema::answer read_platform_answer(
    http::response& received, const schema::call& call,
    const directory::header_names& platform_headers)
{
    using base::verdict;
    const bool matches_request =
        http::find_header(received.headers, platform_headers.attempt_id) ==
        http::find_header(call.headers, platform_headers.attempt_id);
    const bool refused =
        !http::find_header(received.headers, platform_headers.not_executed)
             .empty() ||
        received.status == misdirected_status;
    if (matches_request && refused)
    {
        return make_refusal(verdict::not_run, refusal::shed_by_backend);
    }
    const bool success = received.status >= first_success_status &&
                         received.status < first_redirect_status;
    const bool signed_by_backend =
        !http::find_header(received.headers, platform_headers.signature)
             .empty();
    const bool encoded =
        !http::find_header(received.headers, "content-encoding").empty();
    const bool claims_not_run =
        std::find(
            not_run_statuses.begin(), not_run_statuses.end(),
            received.status) != not_run_statuses.end();
    if (!matches_request || encoded || (success && !signed_by_backend) ||
        claims_not_run)
    {
        return make_refusal(verdict::may_have_run, refusal::protocol);
    }
    schema::answer answer;
    answer.verdict = static_cast<std::uint32_t>(verdict::ran);
    answer.status = received.status;
    answer.headers = std::move(received.headers);
    answer.body = std::move(received.body);
    return answer;
}
} // namespace

http::transfer_request target_side::make_transfer(
    std::uint64_t id, inbound_call& call, base::time_ms now) const
{
    const auto& backend = this->tables.settings.backend;
    const auto remaining = call.deadline - now;
    http::transfer_request transfer;
    transfer.content.method = call.message.method;
    transfer.content.target = call.message.path;
    transfer.content.headers = call.message.headers;
    transfer.content.body = std::move(call.message.body);
    auto& headers = transfer.content.headers;
    transfer.host = backend.host;
    transfer.port = backend.port;
    transfer.connect_timeout = {backend.connect_timeout_ms};
    if (this->tables.platform_headers)
    {
        this->add_platform_headers(headers, call, remaining);
        const auto& id_header = this->tables.platform_headers->attempt_id;
        transfer.response_id = {
            id_header,
            std::string(http::find_header(call.message.headers, id_header))};
        transfer.timeout = remaining;
        return transfer;
    }
    headers.push_back({"Host", call.message.service});
    headers.push_back(
        {std::string(timeout_header), std::to_string(remaining.count)});
    // Tracing libraries pass on a tracestate only together with a traceparent.
    headers.push_back(
        {std::string(trace_parent_header),
         call.message.trace_parent.empty()
             ? trace_parent_for(call.message.root, id)
             : call.message.trace_parent});
    headers.push_back(
        {std::string(trace_state_header),
         trace_state_for(id, call.message.trace_state)});
    // The baseline variants do not bound work by its deadline.
    const bool full = decisions::is_full_policy(this->tables.variant);
    transfer.timeout = full ? remaining : baseline_timeout;
    return transfer;
}

void target_side::add_platform_headers(
    http::header_list& headers, const inbound_call& call,
    base::duration_ms remaining) const
{
    const auto& names = *this->tables.platform_headers;
    headers.push_back({names.timeout, std::to_string(remaining.count)});
    if (!call.message.expected_instance.empty())
    {
        headers.push_back(
            {names.expected_instance, call.message.expected_instance});
    }
}

void target_side::start(std::uint64_t id)
{
    const auto now = base::now();
    std::optional<http::transfer_request> transfer;
    auto reason = refusal::none;
    this->inbound.with(
        [&](inbound_table& table)
        {
            const auto found = table.calls.find(id);
            if (found == table.calls.end())
            {
                return;
            }
            auto& call = found->second;
            if (call.deadline <= now)
            {
                reason = refusal::deadline;
                return;
            }
            // The last check before the target: the list may have changed since
            // the call was admitted.
            if (this->leaving_since(call.message))
            {
                reason = refusal::draining;
                return;
            }
            if (this->is_key_revoked(
                    call.message.key_id, call.message.configuration_version))
            {
                reason = refusal::key_revoked;
                return;
            }
            call.state = call_state::running;
            call.started = now;
            if (this->tables.settings.placement.by_cost)
            {
                table.outstanding.on_start(id, call.work, now);
            }
            transfer = this->make_transfer(id, call, now);
            transfer->may_send = [this, id] { return this->may_send(id); };
        });
    if (reason != refusal::none)
    {
        this->finish(
            id, make_refusal(base::verdict::not_run, reason),
            decisions::completion::ignored, {0});
        return;
    }
    if (!transfer)
    {
        return;
    }
    const auto transfer_id = this->client->start(
        std::move(*transfer), [this, id](http::transfer_result result)
        { this->on_transfer(id, std::move(result)); });
    this->inbound.with(
        [&](inbound_table& table)
        {
            const auto found = table.calls.find(id);
            if (found != table.calls.end())
            {
                found->second.transfer_id = transfer_id;
            }
        });
}

bool target_side::may_send(std::uint64_t id)
{
    return this->inbound.with(
        [&](inbound_table& table)
        {
            const auto found = table.calls.find(id);
            if (found == table.calls.end())
            {
                return false;
            }
            const auto& call = found->second.message;
            return !this->leaving_since(call) &&
                   !this->is_key_revoked(
                       call.key_id, call.configuration_version);
        });
}

bool target_side::is_key_revoked(
    std::uint64_t key_id, std::uint64_t configuration_version) const
{
    if (key_id == 0)
    {
        return false;
    }
    return this->tables.access.with(
        [&](access_table& access)
        {
            return access.workspaces.version() > configuration_version &&
                   !access.workspaces.contains(key_id);
        });
}

schema::answer target_side::to_answer(
    const schema::call& call, http::transfer_result& result,
    std::uint32_t shed_status, bool nested_call_failed) const
{
    using base::verdict;
    switch (result.outcome)
    {
    case http::transfer_outcome::answered:
        break;
    case http::transfer_outcome::unsent:
        return make_refusal(
            verdict::not_run, this->leaving_since(call)
                                  ? refusal::draining
                                  : refusal::backend_down);
    case http::transfer_outcome::broken:
        return make_refusal(verdict::may_have_run, refusal::connection_lost);
    case http::transfer_outcome::timed_out:
        return make_refusal(verdict::may_have_run, refusal::timeout);
    case http::transfer_outcome::too_large:
        return make_refusal(verdict::may_have_run, refusal::memory);
    case http::transfer_outcome::cancelled:
        return make_refusal(verdict::may_have_run, refusal::cancelled);
    }
    if (this->tables.platform_headers)
    {
        auto answer = read_platform_answer(
            result.content, call, *this->tables.platform_headers);
        const base::duration_ms since_failure{
            base::now().count - this->tables.last_outbound_failure_ms.load()};
        // If calls are not linked to those that cause them, an outbound call of
        // this node that failed a moment ago is taken as the cause.
        const bool failed_below =
            this->tables.parent_ids_seen
                ? nested_call_failed
                : since_failure <= failure_propagation_time;
        answer.failed_below =
            answer.status >= first_server_error_status && failed_below;
        return answer;
    }
    if (shed_status != 0 && result.content.status == shed_status)
    {
        return make_refusal(verdict::not_run, refusal::shed_by_backend);
    }
    schema::answer answer;
    answer.verdict = static_cast<std::uint32_t>(verdict::ran);
    answer.status = result.content.status;
    answer.headers = std::move(result.content.headers);
    answer.body = std::move(result.content.body);
    return answer;
}

void target_side::read_backend_state(
    const schema::call& call, const http::response& received)
{
    if (!this->tables.platform_headers)
    {
        return;
    }
    const auto& names = *this->tables.platform_headers;
    const auto response_id =
        http::find_header(received.headers, names.attempt_id);
    if (response_id.empty() || response_id != this->request_id(call))
    {
        return;
    }
    const auto rate = parse_decimal_header(received.headers, names.rate_limit);
    const bool changed = this->inbound.with(
        [&](inbound_table& table)
        { return table.admission.on_stated_rate(rate, base::now()); });
    if (changed)
    {
        this->tables.record_event(
            {0, "rate_limit", 0, 0, call.service,
             "per_s=" + (rate ? std::to_string(*rate) : "none")});
    }
    if (states_leaving(received.headers, names))
    {
        this->tables.with_targets(
            call.service,
            [&](auto& targets, routing_table&)
            {
                targets.on_stated_leaving(
                    {call.expected_instance, call.expected_start_ms},
                    base::now());
            });
    }
}

void target_side::on_transfer(std::uint64_t id, http::transfer_result result)
{
    const auto shed_status = this->inbound.with([](inbound_table& table)
                                                { return table.shed_status; });
    const auto outcome = result.outcome;
    const base::duration_ms duration{
        static_cast<std::int64_t>(result.duration_ms)};
    bool nested_call_failed = false;
    bool has_nested_calls = false;
    const auto call = this->inbound.with(
        [&](inbound_table& table)
        {
            const auto found = table.calls.find(id);
            if (found == table.calls.end())
            {
                return schema::call{};
            }
            nested_call_failed = found->second.nested_call_failed;
            has_nested_calls = found->second.has_nested_calls;
            return found->second.message;
        });
    if (outcome == http::transfer_outcome::answered)
    {
        this->read_backend_state(call, result.content);
    }
    auto answer =
        this->to_answer(call, result, shed_status, nested_call_failed);
    if (outcome == http::transfer_outcome::broken)
    {
        this->check_after_disconnect(id, answer);
        return;
    }
    if (answer.reason == refusal::backend_down)
    {
        this->on_backend_refused();
    }
    const bool ran = answer.reason == refusal::none;
    const bool shed = answer.reason == refusal::shed_by_backend;
    const bool cancelled = answer.reason == refusal::cancelled;
    const bool leaving = answer.reason == refusal::draining;
    if (cancelled)
    {
        this->remember_unconfirmed_run(id);
    }
    // A call that times out while it waits for a nested call is no sign that
    // this backend server is overloaded; the services below may be.
    const bool waited_below =
        outcome == http::transfer_outcome::timed_out && has_nested_calls;
    const bool no_evidence = cancelled || waited_below || leaving;
    const auto kind = ran           ? decisions::completion::served
                      : shed        ? decisions::completion::shed
                      : no_evidence ? decisions::completion::ignored
                                    : decisions::completion::failed;
    this->finish(id, std::move(answer), kind, duration);
}

void target_side::finish(
    std::uint64_t id, schema::answer answer, decisions::completion kind,
    base::duration_ms service_time)
{
    const auto now = base::now();
    decisions::admission_actions actions;
    auto removed = this->inbound.with(
        [&](inbound_table& table)
        {
            auto result = this->remove(table, id);
            if (result)
            {
                this->keep_context(table, result->call, answer);
                actions = table.admission.finish(id, kind, service_time, now);
                if (this->tables.settings.placement.by_cost &&
                    kind == decisions::completion::served)
                {
                    const auto& work = result->call.work;
                    table.outstanding.on_served(work.kind, service_time);
                    answer.service_ms =
                        1 + static_cast<std::uint32_t>(service_time.count);
                }
            }
            return result;
        });
    if (!removed)
    {
        this->tables.node_metrics.on_event("late_backend_answer");
        return;
    }
    auto& ended = removed->call;
    if (answer.reason != refusal::none)
    {
        this->cancel_nested_calls(id);
    }
    if (ended.is_probe_run)
    {
        this->clear_quarantine_after_success(ended, answer);
    }
    this->record_backend_call(ended, id, service_time);
    this->send_answer(ended, std::move(answer));
    this->apply(actions);
    for (const auto waiting_id : removed->released)
    {
        this->admit(waiting_id);
    }
}

void target_side::record_backend_call(
    const inbound_call& call, std::uint64_t id, base::duration_ms service_time)
{
    if (call.state != call_state::running)
    {
        return;
    }
    const auto waited = call.started - call.arrived;
    this->tables.node_metrics.on_backend_call(
        static_cast<double>(waited.count) / ms_per_s,
        static_cast<double>(service_time.count) / ms_per_s);
    const auto timeout = call.deadline - call.arrived;
    this->tables.events.record(
        {0, "serve", call.message.root, id, call.message.service,
         "priority=" + std::to_string(call.message.priority) +
             " depth=" + std::to_string(call.message.depth) +
             " timeout_ms=" + std::to_string(timeout.count) +
             " waited_ms=" + std::to_string(waited.count) +
             " service_ms=" + std::to_string(service_time.count) +
             " long=" + (call.message.long_work ? "1" : "0")});
}

} // namespace bilberrytally::node
