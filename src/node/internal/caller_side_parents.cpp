#include "node/internal/caller_side.hpp"
#include "node/internal/http_mapping.hpp"
#include "transport/message_codec.hpp"

#include <algorithm>
#include <utility>

// The parts of caller_side for calls whose node was restarted while their
// backend server runs them: what their nested calls inherit is known to the
// nodes that sent them.
namespace bilberrytally::node
{
namespace
{
//! Time after the start of this process within which the other nodes have
//! connected to it and told it of its calls.
constexpr base::duration_ms introduction_time{2000};
//! Share of a nested call's time-out (1/n) that it may wait for its parent.
constexpr std::uint64_t wait_divisor = 2;
constexpr std::size_t max_waits = 256;
//! Bound of the bodies of the calls that wait.
constexpr std::size_t max_waiting_bytes = 1U << 20U;

std::size_t waiting_bytes(const std::vector<parent_wait>& waits)
{
    std::size_t sum = 0;
    for (const auto& wait : waits)
    {
        sum += wait.request.request.body.size();
    }
    return sum;
}
} // namespace

bool caller_side::wait_for_parent(received_request& received)
{
    const auto introduced = this->tables.started + introduction_time;
    const auto timeout_ms = parse_number_header(
        received.request.headers, this->tables.platform_headers->timeout);
    const base::duration_ms longest{
        static_cast<std::int64_t>(std::min<std::uint64_t>(
            timeout_ms.value_or(UINT64_MAX) / wait_divisor,
            introduction_time.count))};
    const auto ends = std::min(introduced, received.received + longest);
    if (ends <= base::now())
    {
        return false;
    }
    return this->outbound_calls.with(
        [&](outbound_call_table& table)
        {
            const bool has_room = table.parent_waits.size() < max_waits &&
                                  waiting_bytes(table.parent_waits) +
                                          received.request.body.size() <=
                                      max_waiting_bytes;
            if (has_room)
            {
                table.parent_waits.push_back({std::move(received), ends});
            }
            return has_room;
        });
}

void caller_side::resume_parent_waits(base::time_ms now)
{
    const bool any_waits =
        this->outbound_calls.with([](const outbound_call_table& table)
                                  { return !table.parent_waits.empty(); });
    if (!any_waits)
    {
        return;
    }
    std::vector<parent_wait> due;
    const bool has_routes = this->tables.routes.with(
        [](const directory::route_map& routes) { return routes.size() > 0; });
    const auto waits_on = [&](const parent_wait& wait)
    {
        const bool undecided =
            !has_routes || (this->tables.needs_proof &&
                            !this->find_parent(wait.request.request));
        return undecided && wait.ends > now;
    };
    this->outbound_calls.with(
        [&](outbound_call_table& table)
        {
            auto& waits = table.parent_waits;
            const auto first_due =
                std::stable_partition(waits.begin(), waits.end(), waits_on);
            std::move(first_due, waits.end(), std::back_inserter(due));
            waits.erase(first_due, waits.end());
        });
    for (auto& wait : due)
    {
        this->on_routed_request(std::move(wait.request));
    }
}

void caller_side::remember_unanswered(
    outbound_call_table& table, std::uint64_t attempt,
    const transport::peer_address& peer) const
{
    const auto found = table.attempts.find(attempt);
    if (found == table.attempts.end() || !this->tables.links_nested_calls())
    {
        return;
    }
    const auto& call = table.calls.at(found->second);
    const auto& message = call.message;
    table.unanswered.add(
        {peer.host, peer.port},
        {message.service,
         std::string(http::find_header(
             message.headers, this->tables.platform_headers->attempt_id)),
         context_of(message, call.deadline)});
}

void caller_side::on_link_up(transport::link_id link, const schema::hello& peer)
{
    const auto now = base::now();
    const auto calls = this->outbound_calls.with(
        [&](outbound_call_table& table) {
            return table.unanswered.sent_to({peer.host, peer.port}, now);
        });
    if (calls.empty())
    {
        return;
    }
    schema::unanswered_calls message;
    for (const auto& [service, request, context] : calls)
    {
        message.calls.push_back(
            {service, request, context.root, context.depth, context.priority,
             (context.deadline - now).count, context.rerun, context.workspace,
             context.key_id, context.configuration_version});
    }
    this->tables.record_event(
        {0, "unanswered_calls", 0, 0, "",
         "sent=" + std::to_string(calls.size()) + " peer=" + peer.host});
    this->network->send(
        link, transport::frame_kind::unanswered_calls,
        transport::encode(message));
}
} // namespace bilberrytally::node
