#include "node/internal/caller_side.hpp"
#include "node/internal/http_mapping.hpp"

#include <algorithm>
#include <utility>

// The part of caller_side that holds the calls of workspaces to their quotas.
namespace bilberrytally::node
{
namespace
{
using base::verdict;
using schema::refusal;

//! Shortest Retry-After of a request over its quota. The header has hundredths
//! of a second, and other requests take the next token first.
constexpr base::duration_ms min_retry_after{50};
} // namespace

void caller_side::set_quota(quota_exchange& new_quota)
{
    this->quota = &new_quota;
}

void caller_side::start_within_quota(
    outbound_call new_call,
    const std::shared_ptr<const directory::workspace>& owner,
    http::respond respond)
{
    const auto id = new_call.id;
    this->outbound_calls.with(
        [&](outbound_call_table& table)
        {
            table.quota_waits.emplace(
                id, quota_wait{std::move(new_call), std::move(respond)});
        });
    this->quota->acquire(
        owner, [this, id](const quota_decision& decision)
        { this->on_quota_decision(id, decision); });
}

void caller_side::on_quota_decision(
    std::uint64_t id, const quota_decision& decision)
{
    auto waited =
        this->outbound_calls.with([&](outbound_call_table& table)
                                  { return table.quota_waits.extract(id); });
    if (waited.empty())
    {
        return;
    }
    auto& call = waited.mapped().call;
    if (!decision.granted)
    {
        this->tables.node_metrics.on_event("quota_refused");
        waited.mapped().respond(to_routed_response(
            make_refusal(
                verdict::not_run,
                decision.unavailable ? refusal::unproven_view : refusal::quota),
            std::max(decision.retry_after, min_retry_after)));
        return;
    }
    if (!this->take_while_stopping(call))
    {
        this->refuse_stopping(call);
        return;
    }
    this->start_call(std::move(call));
}

void caller_side::drop_waits(std::uint64_t connection)
{
    this->outbound_calls.with(
        [&](outbound_call_table& table)
        {
            std::erase_if(
                table.parent_waits, [&](const auto& wait)
                { return wait.request.connection == connection; });
            std::erase_if(
                table.quota_waits, [&](const auto& wait)
                { return wait.second.call.connection == connection; });
        });
}
} // namespace bilberrytally::node
