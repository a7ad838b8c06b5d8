#include "node/internal/caller_side.hpp"

// The parts of caller_side that send slow calls to another target.
namespace bilberrytally::node
{
namespace
{
using base::verdict;
using schema::refusal;

constexpr std::uint32_t first_server_error = 500;
} // namespace

void caller_side::plan_reroute(
    outbound_call_table& table, const outbound_call& call)
{
    const bool possible = call.message.repeatable && !call.message.long_work &&
                          call.destination == destination_kind::balanced &&
                          call.dispatches == 1 && has_attempt_left(call) &&
                          !this->tables.draining &&
                          decisions::is_full_policy(this->tables.variant);
    if (!possible)
    {
        return;
    }
    const auto delay = this->tables.routing.with(
        [&](routing_table& routing)
        { return routing.reroute_delays[latency_group(call)].timeout(); });
    if (delay)
    {
        table.by_reroute_time.emplace(
            call.dispatched + *delay, call.attempt_id);
    }
}

bool caller_side::resolve_hedge(
    outbound_call_table& table, outbound_call& call, std::uint64_t attempt,
    const attempt_outcome& outcome, attempt_state& losing)
{
    const bool succeeded = verdict_of(outcome.answer) == verdict::ran &&
                           outcome.answer.status < first_server_error;
    const bool primary_ended = attempt == call.primary->id;
    const auto ended = primary_ended ? *call.primary : call.current_attempt();
    const auto other = primary_ended ? call.current_attempt() : *call.primary;
    if (succeeded)
    {
        losing = other;
        this->report_result(
            call, other,
            {make_refusal(verdict::may_have_run, refusal::cancelled), false,
             true});
    }
    if (primary_ended)
    {
        table.end_primary(call);
        if (succeeded)
        {
            table.end_attempt(call);
            call.set_current_attempt(ended);
        }
    }
    else
    {
        table.attempts.erase(succeeded ? other.id : ended.id);
        const auto removed = succeeded ? other : ended;
        const auto waiting = table.by_link.find(removed.link);
        if (waiting != table.by_link.end())
        {
            waiting->second.erase(removed.id);
        }
        call.set_current_attempt(succeeded ? ended : other);
        call.primary.reset();
    }
    if (succeeded)
    {
        return false;
    }
    this->report_result(call, ended, outcome);
    return true;
}

bool caller_side::fall_back_to_primary(outbound_call& call)
{
    if (!call.primary)
    {
        return false;
    }
    call.set_current_attempt(*call.primary);
    call.primary.reset();
    return true;
}

void caller_side::hedge(std::uint64_t attempt, bool any_target)
{
    std::uint64_t id = 0;
    this->outbound_calls.with(
        [&](outbound_call_table& table)
        {
            const auto found = table.attempts.find(attempt);
            if (found == table.attempts.end())
            {
                return;
            }
            auto& call = table.calls.at(found->second);
            const bool allowed =
                !call.primary && call.attempt_id == attempt &&
                call.message.repeatable && has_attempt_left(call) &&
                (any_target || this->has_spare_target(call)) &&
                this->tables.routing.with(
                    [&](routing_table& routing)
                    {
                        return routing.routed_retries.allow_retry(
                            call.message.service, base::now());
                    });
            if (!allowed)
            {
                return;
            }
            id = found->second;
            call.primary = call.current_attempt();
            call.attempt_id = 0;
            call.local_inbound_call = 0;
            call.earlier_may_have_run = true;
            call.message.rerun = true;
            ++call.history.arrivals;
        });
    if (id != 0)
    {
        this->tables.record_event({0, "hedge", 0, id, "", ""});
        this->dispatch(id);
    }
}

void caller_side::reroute_slow_calls(base::time_ms now)
{
    std::vector<outbound_call> slow;
    this->outbound_calls.with(
        [&](outbound_call_table& table)
        {
            auto& by_time = table.by_reroute_time;
            while (!by_time.empty() && by_time.begin()->first <= now)
            {
                const auto found = table.attempts.find(by_time.begin()->second);
                if (found != table.attempts.end())
                {
                    slow.push_back(table.calls.at(found->second));
                }
                by_time.erase(by_time.begin());
            }
        });
    for (const auto& call : slow)
    {
        if (this->tables.draining)
        {
            continue;
        }
        if (this->tables.platform_headers)
        {
            this->hedge(call.attempt_id, false);
            continue;
        }
        const bool allowed = this->tables.routing.with(
            [&](routing_table& table)
            { return table.retries.tokens(call.message.service) >= 1; });
        if (!allowed)
        {
            continue;
        }
        this->tables.record_event(
            {0, "reroute", call.message.root, call.id, "", ""});
        this->stop_attempts(call);
        this->on_attempt_end(
            call.attempt_id,
            {make_refusal(verdict::may_have_run, refusal::timeout), false,
             true});
    }
}
} // namespace bilberrytally::node
