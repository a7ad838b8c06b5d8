#include "base/hash.hpp"
#include "node/internal/http_mapping.hpp"
#include "node/internal/target_side.hpp"
#include "transport/message_codec.hpp"

#include <algorithm>
#include <array>

//! The parts of target_side that run calls at the backend server.
namespace bilberrytally::node
{
namespace
{
using schema::refusal;

constexpr double ms_per_s = 1000;
constexpr std::uint32_t first_success_status = 200;
constexpr std::uint32_t first_redirect_status = 300;
constexpr std::uint32_t first_error_status = 500;
//! A backend server passes on the failure of a call within this time.
constexpr base::duration_ms failure_reach{25};
constexpr std::uint32_t misdirected_status = 421;
//! Statuses that promise a caller that its request did not run.
constexpr std::array<std::uint32_t, 3> promise_statuses{408, 429, 503};
constexpr base::duration_ms baseline_timeout{60000};

std::string death_name(const std::string& instance, std::uint64_t number)
{
    return instance + "#" + std::to_string(number);
}
} // namespace

namespace
{
//! Reads the answer of a target of a platform's fleet.
schema::answer routed_answer(
    http::response& received, const schema::call& call,
    const directory::dialect& names)
{
    using base::verdict;
    if (!http::find_header(received.headers, names.not_executed).empty() ||
        received.status == misdirected_status)
    {
        return make_refusal(verdict::not_run, refusal::shed_by_backend);
    }
    const bool own = http::find_header(received.headers, names.request_id) ==
                     http::find_header(call.headers, names.request_id);
    const bool success = received.status >= first_success_status &&
                         received.status < first_redirect_status;
    const bool made_by_target =
        !http::find_header(received.headers, names.signature).empty();
    const bool encoded =
        !http::find_header(received.headers, "content-encoding").empty();
    const bool promise = std::find(
                             promise_statuses.begin(), promise_statuses.end(),
                             received.status) != promise_statuses.end();
    if (!own || encoded || (success && !made_by_target) || promise)
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
    std::uint64_t id, const serving_call& call, base::time_ms now) const
{
    const auto& backend = this->tables.settings.backend;
    const auto remaining = call.deadline - now;
    http::transfer_request transfer;
    transfer.content.method = call.call.method;
    transfer.content.target = call.call.path;
    transfer.content.headers = call.call.headers;
    transfer.content.body = call.call.body;
    auto& headers = transfer.content.headers;
    transfer.host = backend.host;
    transfer.port = backend.port;
    transfer.connect_timeout = {backend.connect_timeout_ms};
    if (this->tables.names)
    {
        this->add_routed_headers(headers, call, remaining);
        const auto& id = this->tables.names->request_id;
        transfer.answer_id = {
            id, std::string(http::find_header(call.call.headers, id))};
        transfer.timeout = remaining;
        return transfer;
    }
    headers.push_back({"Host", call.call.service});
    headers.push_back(
        {std::string(timeout_header), std::to_string(remaining.count)});
    //! Tracing libraries pass tracestate on only beside a traceparent.
    headers.push_back(
        {std::string(trace_parent_header),
         call.call.trace_parent.empty() ? trace_parent_for(call.call.root, id)
                                        : call.call.trace_parent});
    headers.push_back(
        {std::string(trace_state_header),
         trace_state_for(id, call.call.trace_state)});
    //! The baselines do not bound work by its deadline.
    const bool full = decisions::is_full(this->tables.variant);
    transfer.timeout = full ? remaining : baseline_timeout;
    return transfer;
}

void target_side::add_routed_headers(
    http::header_list& headers, const serving_call& call,
    base::duration_ms remaining) const
{
    const auto& names = *this->tables.names;
    headers.push_back({names.timeout, std::to_string(remaining.count)});
    if (!call.call.expected_instance.empty())
    {
        headers.push_back(
            {names.expected_instance, call.call.expected_instance});
    }
}

void target_side::start(std::uint64_t id)
{
    const auto now = base::now();
    std::optional<http::transfer_request> transfer;
    bool late = false;
    std::uint64_t root = 0;
    this->serving.with(
        [&](serving_table& table)
        {
            const auto found = table.calls.find(id);
            if (found == table.calls.end())
            {
                return;
            }
            auto& call = found->second;
            late = call.deadline <= now;
            if (late)
            {
                return;
            }
            root = call.call.root;
            call.state = phase::running;
            call.started = now;
            transfer = this->make_transfer(id, call, now);
        });
    if (late)
    {
        this->finish(
            id, make_refusal(base::verdict::not_run, refusal::deadline),
            decisions::completion::ignored, {0});
        return;
    }
    if (!transfer)
    {
        return;
    }
    const auto number = this->client->start(
        std::move(*transfer), [this, id](http::transfer_result result)
        { this->on_transfer(id, std::move(result)); });
    this->serving.with(
        [&](serving_table& table)
        {
            const auto found = table.calls.find(id);
            if (found != table.calls.end())
            {
                found->second.transfer = number;
            }
        });
}

schema::answer target_side::to_answer(
    const schema::call& call, http::transfer_result& result,
    std::uint32_t shed_status, bool child_failed) const
{
    using base::verdict;
    switch (result.outcome)
    {
    case http::transfer_outcome::answered:
        break;
    case http::transfer_outcome::unsent:
        return make_refusal(verdict::not_run, refusal::backend_down);
    case http::transfer_outcome::broken:
        return make_refusal(verdict::may_have_run, refusal::connection_lost);
    case http::transfer_outcome::timed_out:
        return make_refusal(verdict::may_have_run, refusal::timeout);
    case http::transfer_outcome::too_large:
        return make_refusal(verdict::may_have_run, refusal::memory);
    case http::transfer_outcome::cancelled:
        return make_refusal(verdict::may_have_run, refusal::cancelled);
    }
    if (this->tables.names)
    {
        auto answer = routed_answer(result.answer, call, *this->tables.names);
        const base::duration_ms since{
            base::now().count - this->tables.last_failure.load()};
        //! Without links between calls, a failure that began here a moment
        //! ago is taken as the cause.
        const bool below =
            this->tables.chains_linked ? child_failed : since <= failure_reach;
        answer.failed_below = answer.status >= first_error_status && below;
        return answer;
    }
    if (shed_status != 0 && result.answer.status == shed_status)
    {
        return make_refusal(verdict::not_run, refusal::shed_by_backend);
    }
    schema::answer answer;
    answer.verdict = static_cast<std::uint32_t>(verdict::ran);
    answer.status = result.answer.status;
    answer.headers = std::move(result.answer.headers);
    answer.body = std::move(result.answer.body);
    return answer;
}

void target_side::on_transfer(std::uint64_t id, http::transfer_result result)
{
    const auto shed_status = this->serving.with([](serving_table& table)
                                                { return table.shed_status; });
    const auto outcome = result.outcome;
    const base::duration_ms duration{
        static_cast<std::int64_t>(result.duration_ms)};
    bool child_failed = false;
    const auto call = this->serving.with(
        [&](serving_table& table)
        {
            const auto found = table.calls.find(id);
            if (found == table.calls.end())
            {
                return schema::call{};
            }
            child_failed = found->second.child_failed;
            return found->second.call;
        });
    auto answer = this->to_answer(call, result, shed_status, child_failed);
    if (outcome == http::transfer_outcome::broken)
    {
        this->probe_after_break(id, answer);
        return;
    }
    if (answer.reason == refusal::backend_down)
    {
        this->monitor.on_refused();
    }
    const bool ran = answer.reason == refusal::none;
    const bool shed = answer.reason == refusal::shed_by_backend;
    const bool cancelled = answer.reason == refusal::cancelled;
    const auto kind = ran         ? decisions::completion::served
                      : shed      ? decisions::completion::shed
                      : cancelled ? decisions::completion::ignored
                                  : decisions::completion::failed;
    this->finish(id, std::move(answer), kind, duration);
}

void target_side::probe_after_break(
    std::uint64_t id, const schema::answer& answer)
{
    bool trial = false;
    this->serving.with(
        [&](serving_table& table)
        {
            const auto found = table.calls.find(id);
            if (found != table.calls.end())
            {
                found->second.state = phase::probing;
                trial = found->second.trial;
            }
        });
    this->monitor.probe(
        [this, id, answer, trial](bool refused)
        {
            //! A struck request that breaks its trial off is taken to have
            //! done it again: the backend server may be back already.
            if (refused || trial)
            {
                this->on_backend_death(id, answer, refused);
                return;
            }
            this->finish(id, answer, decisions::completion::failed, {0});
        });
}

void target_side::on_backend_death(
    std::uint64_t id, schema::answer answer, bool down)
{
    const bool first = this->monitor.is_up();
    if (down)
    {
        this->monitor.on_refused();
    }
    schema::strike strike;
    this->serving.with(
        [&](serving_table& table)
        {
            const auto found = table.calls.find(id);
            if (found == table.calls.end())
            {
                return;
            }
            table.deaths += first ? 1 : 0;
            const auto& call = found->second.call;
            strike.service = call.service;
            strike.fingerprint = call.digest;
            strike.death =
                death_name(this->tables.settings.node.instance, table.deaths);
            table.quarantine.strike(call.digest, strike.death, base::now());
        });
    if (!strike.death.empty())
    {
        this->tables.note(
            {0, "strike", 0, id, strike.service,
             "death=" + strike.death +
                 " fingerprint=" + base::to_hex(strike.fingerprint)});
        this->broadcast_strike(strike);
    }
    answer.struck = true;
    //! The caller's node hands the death's name on with a retry.
    answer.body = strike.death;
    this->finish(id, std::move(answer), decisions::completion::failed, {0});
}

void target_side::finish(
    std::uint64_t id, schema::answer answer, decisions::completion kind,
    base::duration_ms service_time)
{
    const auto now = base::now();
    decisions::admission_actions actions;
    auto removed = this->serving.with(
        [&](serving_table& table)
        {
            auto result = this->remove(table, id);
            if (result)
            {
                actions = table.admission.finish(id, kind, service_time, now);
            }
            return result;
        });
    if (!removed)
    {
        this->tables.counts.on_event("late_backend_answer");
        return;
    }
    auto& ended = removed->call;
    if (answer.reason != refusal::none)
    {
        this->cancel_children(id);
    }
    if (ended.trial)
    {
        this->end_trial(ended, answer);
    }
    this->note_served(ended, id, service_time);
    this->send_answer(ended, std::move(answer));
    this->apply(actions);
    for (const auto waiting : removed->released)
    {
        this->admit(waiting);
    }
}

void target_side::note_served(
    const serving_call& call, std::uint64_t id, base::duration_ms service_time)
{
    if (call.state != phase::running)
    {
        return;
    }
    const auto waited = call.started - call.arrived;
    this->tables.counts.on_backend_call(
        static_cast<double>(waited.count) / ms_per_s,
        static_cast<double>(service_time.count) / ms_per_s);
    const auto timeout = call.deadline - call.arrived;
    this->tables.events.record(
        {0, "serve", call.call.root, id, call.call.service,
         "priority=" + std::to_string(call.call.priority) +
             " depth=" + std::to_string(call.call.depth) +
             " timeout_ms=" + std::to_string(timeout.count) +
             " waited_ms=" + std::to_string(waited.count) +
             " service_ms=" + std::to_string(service_time.count) +
             " long=" + (call.call.long_work ? "1" : "0")});
}

void target_side::end_trial(
    const serving_call& call, const schema::answer& answer)
{
    if (answer.struck || answer.reason != refusal::none)
    {
        return;
    }
    schema::strike cleared;
    cleared.service = call.call.service;
    cleared.fingerprint = call.call.digest;
    cleared.cleared = true;
    this->on_strike(cleared);
    this->broadcast_strike(cleared);
}

void target_side::on_strike(const schema::strike& strike)
{
    this->serving.with(
        [&](serving_table& table)
        {
            if (strike.cleared)
            {
                table.quarantine.clear(strike.fingerprint);
                return;
            }
            table.quarantine.strike(
                strike.fingerprint, strike.death, base::now());
        });
}

void target_side::broadcast_strike(const schema::strike& strike)
{
    std::vector<decisions::target_view> peers;
    this->tables.with_targets(
        strike.service, [&](auto& targets, routing_table&)
        { peers = targets.view(base::now()); });
    const auto body = transport::encode(strike);
    for (const auto& peer : peers)
    {
        if (peer.address.instance != this->tables.settings.node.instance)
        {
            const auto link =
                this->network->link_to({peer.address.host, peer.address.port});
            this->network->send(link, transport::frame_kind::strike, body, 0);
        }
    }
}
} // namespace bilberrytally::node
