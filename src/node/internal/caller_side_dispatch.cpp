#include "node/internal/caller_side.hpp"
#include "node/internal/http_mapping.hpp"
#include "transport/message_codec.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

// The parts of caller_side that choose targets, dispatch attempts and retry.
namespace bilberrytally::node
{
namespace
{
using base::verdict;
using schema::refusal;

constexpr std::uint32_t first_server_error = 500;
//! Maximum number of attempts at each hop under the baseline policies.
constexpr std::uint32_t baseline_attempts = 4;

//! True if the backend server rejected the call or failed it by itself, not
//! because of a nested call.
bool failed_at_backend(const schema::answer& answer)
{
    switch (answer.reason)
    {
    case refusal::shed_by_backend:
    case refusal::connection_lost:
    case refusal::protocol:
        return true;
    default:
        return answer.status >= first_server_error && !answer.failed_below;
    }
}

//! Latency as a percentage of the mean latency of the request's group, so that
//! targets that served long requests do not look slow. In ms where requests are
//! not grouped (\p grouped is false) or the mean is still unknown.
base::duration_ms relative_latency(
    routing_table& table, const outbound_call& call, base::duration_ms latency,
    bool grouped)
{
    constexpr double percent = 100;
    const double mean_latency =
        grouped ? table.reroute_delays[call.latency_group].mean_latency_ms()
                : 0;
    if (mean_latency <= 0)
    {
        return latency;
    }
    return {static_cast<std::int64_t>(std::lround(
        percent * static_cast<double>(latency.count) / mean_latency))};
}

//! Adds the crash ids in \p lines, one a line, to those known of a request.
void add_crashes(std::vector<std::string>& known, const std::string& lines)
{
    std::istringstream stream(lines);
    for (std::string crash; std::getline(stream, crash);)
    {
        if (std::find(known.begin(), known.end(), crash) == known.end())
        {
            known.push_back(std::move(crash));
        }
    }
}
} // namespace

std::optional<decisions::target_address>
caller_side::choose_target(const outbound_call& call, schema::refusal& reason)
{
    if (call.destination != destination_kind::balanced)
    {
        return call.fixed_target;
    }
    std::optional<decisions::target_address> target;
    reason = refusal::no_target;
    this->tables.with_targets(
        call.message.service,
        [&](auto& targets, routing_table& table)
        {
            const auto now = base::now();
            const bool full_policy =
                decisions::is_full_policy(this->tables.variant);
            const auto shed_class = this->tables.shed_class(call.message);
            if (full_policy &&
                targets.all_targets_shed(shed_class, table.random, now))
            {
                reason = refusal::overload;
                return;
            }
            const decisions::call_profile profile{
                table.reroute_delays[latency_group(call)].mean_latency_ms(),
                call.latency_objective, shed_class, call.message.cost_kind};
            target = targets.choose(call.tried, table.random, now, profile);
            // Where no untried target is left and an earlier attempt may have
            // run, a target that was tried before is better than none.
            const bool may_reuse_target =
                call.earlier_may_have_run && !call.primary;
            if (!target && may_reuse_target)
            {
                target = targets.choose({}, table.random, now, profile);
            }
            if (target)
            {
                targets.on_dispatch(
                    target->instance, now, call.message.cost_kind);
            }
        });
    return target;
}

void caller_side::dispatch(std::uint64_t id)
{
    std::optional<decisions::target_address> target;
    auto reason = refusal::none;
    std::uint64_t attempt = 0;
    this->outbound_calls.with(
        [&](outbound_call_table& table)
        {
            const auto found = table.calls.find(id);
            if (found == table.calls.end())
            {
                return;
            }
            auto& call = found->second;
            const auto now = base::now();
            if (this->tables.settings.placement.by_cost)
            {
                call.message.cost_kind = cost_kind(call);
            }
            if (call.deadline <= now)
            {
                reason = refusal::deadline;
                return;
            }
            if (now >= this->tables.latest_deadline())
            {
                reason = refusal::draining;
                return;
            }
            target = this->choose_target(call, reason);
            if (!target)
            {
                return;
            }
            attempt = table.next_attempt++;
            call.attempt_id = attempt;
            call.target = target->instance;
            call.tried.insert(target->instance);
            call.dispatched = now;
            call.attempt_budget = call.budget.take_for_dispatch();
            call.message.id = attempt;
            if (this->tables.platform_headers)
            {
                call.message.expected_instance = target->instance;
                call.target_start_ms = this->listed_start(call, *target);
                call.message.expected_start_ms = call.target_start_ms;
            }
            call.message.directory_revision =
                this->tables.known_directory_revision();
            call.message.budget = call.attempt_budget;
            call.message.remaining_ms = (call.deadline - now).count;
            call.link = 0;
            ++call.dispatches;
            table.attempts.emplace(attempt, id);
            this->plan_reroute(table, call);
        });
    if (attempt == 0)
    {
        this->refuse_dispatch(id, reason);
        return;
    }
    if (this->tables.is_local(*target))
    {
        this->dispatch_local(id, attempt);
        return;
    }
    this->dispatch_remote(id, attempt, *target);
}

std::uint64_t caller_side::listed_start(
    const outbound_call& call, const decisions::target_address& target)
{
    std::uint64_t start_ms = 0;
    this->tables.with_targets(
        call.message.service, [&](auto& targets, routing_table&)
        { start_ms = targets.started_at_ms(target.instance); });
    return start_ms;
}

void caller_side::refuse_dispatch(std::uint64_t id, schema::refusal reason)
{
    schema::answer answer;
    bool waits = false;
    this->outbound_calls.with(
        [&](outbound_call_table& table)
        {
            const auto found = table.calls.find(id);
            if (found != table.calls.end())
            {
                auto& call = found->second;
                waits = fall_back_to_primary(call);
                answer = call.destination == destination_kind::home
                             ? make_refusal_without_home(call.message, reason)
                             : make_refusal(verdict::not_run, reason);
            }
        });
    if (waits)
    {
        return;
    }
    this->complete(id, std::move(answer));
}

void caller_side::dispatch_local(std::uint64_t id, std::uint64_t attempt)
{
    std::optional<schema::call> call;
    base::time_ms deadline;
    this->outbound_calls.with(
        [&](outbound_call_table& table)
        {
            const auto found = table.calls.find(id);
            if (found != table.calls.end())
            {
                call = found->second.message;
                deadline = found->second.deadline;
            }
        });
    if (!call)
    {
        return;
    }
    const auto inbound_id = this->targets.offer_local(
        std::move(*call), deadline,
        [this, attempt](schema::answer answer) {
            this->on_attempt_end(attempt, {std::move(answer), true});
        });
    this->outbound_calls.with(
        [&](outbound_call_table& table)
        {
            const auto found = table.calls.find(id);
            if (found != table.calls.end() &&
                found->second.attempt_id == attempt)
            {
                found->second.local_inbound_call = inbound_id;
            }
        });
}

void caller_side::dispatch_remote(
    std::uint64_t id, std::uint64_t attempt,
    const decisions::target_address& target)
{
    const auto link = this->network->link_to({target.host, target.port});
    std::optional<transport::outgoing_message> message;
    this->outbound_calls.with(
        [&](outbound_call_table& table)
        {
            const auto found = table.calls.find(id);
            if (found == table.calls.end())
            {
                return;
            }
            found->second.link = link;
            table.by_link[link].insert(attempt);
            const auto& call = found->second.message;
            message = transport::outgoing_message{
                transport::frame_kind::call, transport::encode(call), call.body,
                attempt, nullptr};
        });
    if (!message)
    {
        return;
    }
    const bool queued = this->network->send(link, std::move(*message));
    if (!queued)
    {
        this->on_attempt_end(
            attempt,
            {make_refusal(verdict::not_run, refusal::unreachable), false});
    }
}

void caller_side::on_answer(transport::link_id link, schema::answer answer)
{
    bool expected = false;
    this->outbound_calls.with(
        [&](outbound_call_table& table)
        {
            const auto found = table.attempts.find(answer.id);
            if (found == table.attempts.end())
            {
                return;
            }
            const auto& call = table.calls.at(found->second);
            const bool from_expected_link =
                call.link == link ||
                (call.primary && call.primary->link == link);
            expected =
                from_expected_link && call.message.digest == answer.digest;
        });
    if (!expected)
    {
        this->tables.record_event({0, "stray_answer", 0, answer.id, "", ""});
        return;
    }
    const auto attempt = answer.id;
    this->on_attempt_end(attempt, {std::move(answer), true});
}

void caller_side::on_declined(std::uint64_t attempt)
{
    this->on_attempt_end(
        attempt, {make_refusal(verdict::not_run, refusal::memory), true});
}

void caller_side::report_result(
    const outbound_call& call, const attempt_state& state,
    const attempt_outcome& outcome)
{
    const auto now = base::now();
    const bool refused = verdict_of(outcome.answer) == verdict::not_run;
    this->tables.with_targets(
        call.message.service,
        [&](auto& targets, routing_table& table)
        {
            if (verdict_of(outcome.answer) == verdict::ran)
            {
                table.reroute_delays[latency_group(call)].on_answer(
                    now - state.dispatched, outcome.answer.descendants);
                table.responses.on_response(
                    latency_group(call), outcome.answer.body.size());
            }
            if (!outcome.answered && !outcome.abandoned)
            {
                targets.on_unreachable(state.target, now);
            }
            if (outcome.answer.reason == refusal::draining)
            {
                targets.on_draining(state.target, true, now);
            }
            // no_target: a node that does not serve the service has taken over
            // the address of one that did.
            const bool down = outcome.answer.reason == refusal::backend_down ||
                              outcome.answer.reason == refusal::no_target;
            if (down)
            {
                targets.on_unreachable(state.target, now);
            }
            const bool routed = this->tables.platform_headers.has_value();
            if (routed &&
                states_leaving(
                    outcome.answer.headers, *this->tables.platform_headers))
            {
                targets.on_stated_leaving(
                    {state.target, state.target_start_ms}, now);
            }
            const auto latency =
                relative_latency(table, call, now - state.dispatched, routed);
            // Answers tell only in routed mode whether a nested call caused the
            // failure.
            const bool backend_failed =
                routed && failed_at_backend(outcome.answer);
            decisions::dispatch_result result{
                outcome.answered && !down, outcome.abandoned, refused, latency,
                outcome.answer.load,       backend_failed};
            result.kind = call.message.cost_kind;
            result.elapsed = now - state.dispatched;
            if (outcome.answer.service_ms > 0)
            {
                // The field holds 1 more, since 0 says that it is unknown.
                result.service_time =
                    base::duration_ms{outcome.answer.service_ms - 1};
            }
            targets.on_result(state.target, result, now);
        });
}

bool caller_side::may_retry(outbound_call& call, const schema::answer& answer)
{
    const auto now = base::now();
    if (call.deadline <= now || call.recalled ||
        call.destination == destination_kind::home)
    {
        return false;
    }
    if (this->tables.platform_headers)
    {
        return this->may_retry_routed(call, answer);
    }
    switch (answer.reason)
    {
    case refusal::deadline:
    case refusal::quarantined:
    case refusal::cancelled:
        return false;
    default:
        break;
    }
    const auto outcome = verdict_of(answer);
    const bool failed = answer.status >= first_server_error;
    const bool safe = outcome == verdict::not_run || call.message.repeatable;
    if (!safe || (outcome == verdict::ran && !failed))
    {
        return false;
    }
    if (!decisions::is_full_policy(this->tables.variant))
    {
        return call.dispatches < baseline_attempts;
    }
    const bool allowed = this->tables.routing.with(
        [&](routing_table& table)
        {
            // A refusal of a draining target cost it no work, so the retry
            // needs no token.
            return call.budget.left() > 0 &&
                   (answer.reason == refusal::draining ||
                    table.retries.allow_retry(call.message.service));
        });
    return allowed && call.budget.spend();
}

void caller_side::prepare_retry(
    outbound_call& call, const schema::answer& answer)
{
    const bool names_crashes =
        answer.struck || answer.reason == refusal::suspected;
    if (names_crashes)
    {
        add_crashes(call.message.struck_by, answer.body);
    }
    call.earlier_may_have_run |= verdict_of(answer) != verdict::not_run;
    call.message.rerun |= call.earlier_may_have_run;
    const bool suspected =
        !call.message.struck_by.empty() || answer.reason == refusal::suspected;
    this->tables.with_targets(
        call.message.service,
        [&](auto& targets, routing_table&)
        {
            if (suspected)
            {
                std::set<std::string> crashed;
                // A crash report reads "instance#number of the crash".
                for (const auto& crash : call.message.struck_by)
                {
                    crashed.insert(crash.substr(0, crash.rfind('#')));
                }
                const auto owner =
                    targets.probe_target(call.message.digest, crashed);
                call.destination = owner ? destination_kind::pinned
                                         : destination_kind::balanced;
                call.fixed_target = owner.value_or(decisions::target_address{});
                return;
            }
            // Once every target was tried, all may be tried again.
            const auto rows = targets.view(base::now());
            const bool untried = std::any_of(
                rows.begin(), rows.end(),
                [&](const auto& row)
                { return call.tried.count(row.address.instance) == 0; });
            if (!untried)
            {
                call.tried.clear();
            }
        });
}

void caller_side::on_attempt_end(std::uint64_t attempt, attempt_outcome outcome)
{
    std::uint64_t id = 0;
    bool retry = false;
    bool waits = false;
    attempt_state losing;
    this->outbound_calls.with(
        [&](outbound_call_table& table)
        {
            const auto found = table.attempts.find(attempt);
            if (found == table.attempts.end())
            {
                return;
            }
            id = found->second;
            auto& call = table.calls.at(id);
            if (call.primary &&
                this->resolve_hedge(table, call, attempt, outcome, losing))
            {
                waits = true;
                return;
            }
            const auto state = call.current_attempt();
            table.end_attempt(call);
            call.budget.return_unspent(
                std::min(outcome.answer.unspent, call.attempt_budget));
            call.attempt_budget = 0;
            if (call.destination != destination_kind::home)
            {
                this->report_result(call, state, outcome);
            }
            else if (
                !outcome.answered &&
                verdict_of(outcome.answer) == verdict::not_run)
            {
                outcome.answer = make_refusal_without_home(
                    call.message, outcome.answer.reason);
            }
            if (call.recalled && verdict_of(outcome.answer) == verdict::not_run)
            {
                outcome.answer.reason = refusal::draining;
            }
            retry = this->may_retry(call, outcome.answer);
            if (retry)
            {
                this->prepare_retry(call, outcome.answer);
            }
        });
    if (id == 0)
    {
        this->tables.record_event({0, "stray_answer", 0, attempt, "", ""});
        return;
    }
    this->stop_attempt(losing);
    if (waits)
    {
        return;
    }
    if (retry)
    {
        this->tables.record_event(
            {0, "retry", 0, id, "",
             "after=" + std::string(schema::to_string(outcome.answer.reason))});
        this->dispatch(id);
        return;
    }
    this->complete(id, std::move(outcome.answer));
}

} // namespace bilberrytally::node
