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
                          decisions::is_full(this->tables.variant);
    if (!possible)
    {
        return;
    }
    const auto delay = this->tables.routing.with(
        [&](routing_table& routing)
        { return routing.reroute_delays[latency_group(call)].delay(); });
    if (delay)
    {
        table.by_reroute_time.emplace(
            call.dispatched + *delay, call.attempt_id);
    }
}

bool caller_side::resolve_hedge(
    outbound_call_table& table, outbound_call& call, std::uint64_t attempt,
    const attempt_outcome& end, attempt_state& losing)
{
    const bool good = verdict_of(end.answer) == verdict::ran &&
                      end.answer.status < first_server_error;
    const bool first_ended = attempt == call.primary->id;
    const auto ended = first_ended ? *call.primary : call.current_attempt();
    const auto other = first_ended ? call.current_attempt() : *call.primary;
    if (good)
    {
        losing = other;
        this->report_result(
            call, other,
            {make_refusal(verdict::may_have_run, refusal::cancelled), false,
             true});
    }
    if (first_ended)
    {
        table.end_primary(call);
        if (good)
        {
            table.end_attempt(call);
            call.set_current_attempt(ended);
        }
    }
    else
    {
        table.attempts.erase(good ? other.id : ended.id);
        const auto gone = good ? other : ended;
        const auto waiting = table.by_link.find(gone.link);
        if (waiting != table.by_link.end())
        {
            waiting->second.erase(gone.id);
        }
        call.set_current_attempt(good ? ended : other);
        call.primary.reset();
    }
    if (good)
    {
        return false;
    }
    this->report_result(call, ended, end);
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
                        return routing.fleet_retries.allow_retry(
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
        this->tables.note({0, "hedge", 0, id, "", ""});
        this->dispatch(id);
    }
}

void caller_side::reroute_slow_calls(base::time_ms now)
{
    std::vector<outbound_call> slow;
    this->outbound_calls.with(
        [&](outbound_call_table& table)
        {
            auto& index = table.by_reroute_time;
            while (!index.empty() && index.begin()->first <= now)
            {
                const auto found = table.attempts.find(index.begin()->second);
                if (found != table.attempts.end())
                {
                    slow.push_back(table.calls.at(found->second));
                }
                index.erase(index.begin());
            }
        });
    for (const auto& call : slow)
    {
        if (this->tables.draining)
        {
            continue;
        }
        if (this->tables.names)
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
        this->tables.note({0, "reroute", call.message.root, call.id, "", ""});
        this->stop_attempts(call);
        this->on_attempt_end(
            call.attempt_id,
            {make_refusal(verdict::may_have_run, refusal::timeout), false,
             true});
    }
}
} // namespace bilberrytally::node
