#include "node/internal/caller_side.hpp"

//! The parts of caller_side that send slow calls to another target.
namespace bilberrytally::node
{
namespace
{
using base::verdict;
using schema::refusal;

constexpr std::uint32_t first_server_error = 500;
} // namespace

void caller_side::plan_reroute(origin_table& table, const origin_call& call)
{
    const bool possible = call.call.repeatable && !call.call.long_work &&
                          call.route == route_kind::balanced &&
                          call.dispatches == 1 && has_attempt_left(call) &&
                          !this->tables.draining &&
                          decisions::is_full(this->tables.variant);
    if (!possible)
    {
        return;
    }
    const auto delay = this->tables.routing.with(
        [&](routing_table& routing)
        { return routing.delays[latency_group(call)].delay(); });
    if (delay)
    {
        table.by_reroute.emplace(call.dispatched + *delay, call.attempt);
    }
}

bool caller_side::settle_hedge(
    origin_table& table, origin_call& call, std::uint64_t attempt,
    const attempt_end& end, attempt_state& superfluous)
{
    const bool good = verdict_of(end.answer) == verdict::ran &&
                      end.answer.status < first_server_error;
    const bool first_ended = attempt == call.earlier->attempt;
    const auto ended = first_ended ? *call.earlier : call.present();
    const auto other = first_ended ? call.present() : *call.earlier;
    if (good)
    {
        superfluous = other;
        this->report_result(
            call, other,
            {make_refusal(verdict::may_have_run, refusal::cancelled), false,
             true});
    }
    if (first_ended)
    {
        table.end_earlier(call);
        if (good)
        {
            table.end_attempt(call);
            call.make_present(ended);
        }
    }
    else
    {
        table.attempts.erase(good ? other.attempt : ended.attempt);
        const auto gone = good ? other : ended;
        const auto waiting = table.by_link.find(gone.link);
        if (waiting != table.by_link.end())
        {
            waiting->second.erase(gone.attempt);
        }
        call.make_present(good ? ended : other);
        call.earlier.reset();
    }
    if (good)
    {
        return false;
    }
    this->report_result(call, ended, end);
    return true;
}

bool caller_side::return_to_earlier(origin_call& call)
{
    if (!call.earlier)
    {
        return false;
    }
    call.make_present(*call.earlier);
    call.earlier.reset();
    return true;
}

void caller_side::hedge(std::uint64_t attempt, bool any_target)
{
    std::uint64_t id = 0;
    this->origins.with(
        [&](origin_table& table)
        {
            const auto found = table.attempts.find(attempt);
            if (found == table.attempts.end())
            {
                return;
            }
            auto& call = table.calls.at(found->second);
            const bool allowed =
                !call.earlier && call.attempt == attempt &&
                call.call.repeatable && has_attempt_left(call) &&
                (any_target || this->has_spare_target(call)) &&
                this->tables.routing.with(
                    [&](routing_table& routing) {
                        return routing.fleet_retries.allow_retry(
                            call.call.service, base::now());
                    });
            if (!allowed)
            {
                return;
            }
            id = found->second;
            call.earlier = call.present();
            call.attempt = 0;
            call.local_serving = 0;
            call.earlier_may_have_run = true;
            call.call.rerun = true;
            ++call.history.arrivals;
        });
    if (id != 0)
    {
        this->tables.note({0, "hedge", 0, id, "", ""});
        this->dispatch(id);
    }
}

void caller_side::reroute_slow(base::time_ms now)
{
    std::vector<origin_call> slow;
    this->origins.with(
        [&](origin_table& table)
        {
            auto& index = table.by_reroute;
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
            this->hedge(call.attempt, false);
            continue;
        }
        const bool allowed = this->tables.routing.with(
            [&](routing_table& table)
            { return table.retries.tokens(call.call.service) >= 1; });
        if (!allowed)
        {
            continue;
        }
        this->tables.note({0, "reroute", call.call.root, call.id, "", ""});
        this->stop_attempts(call);
        this->on_attempt_end(
            call.attempt,
            {make_refusal(verdict::may_have_run, refusal::timeout), false,
             true});
    }
}
} // namespace bilberrytally::node
