#include "node/internal/caller_side.hpp"

#include <algorithm>

// The parts of caller_side that handle the state of connections to other nodes.
namespace bilberrytally::node
{
using base::verdict;
using schema::refusal;

namespace
{
//! True if nothing of the call was sent before the connection was lost.
bool is_unsent(const transport::disconnect_info& loss, std::uint64_t call)
{
    const auto& unsent = loss.unsent_calls;
    return !loss.established ||
           std::find(unsent.begin(), unsent.end(), call) != unsent.end();
}
} // namespace

void caller_side::update_node_state(
    const transport::peer_address& peer, bool unavailable)
{
    if (peer.host.empty())
    {
        return;
    }
    this->tables.routing.with(
        [&](routing_table& table)
        {
            for (auto& [service, targets] : table.services)
            {
                if (unavailable)
                {
                    targets.on_node_disconnected(peer.host, peer.port);
                }
                else
                {
                    targets.on_node_responsive(peer.host, peer.port);
                }
            }
        });
}

void caller_side::on_link_responsiveness(
    transport::link_id link, const transport::peer_address& peer,
    bool unresponsive)
{
    this->update_node_state(peer, unresponsive);
    const auto waiting = this->outbound_calls.with(
        [&](outbound_call_table& table)
        {
            const auto found = table.by_link.find(link);
            return found == table.by_link.end() ? std::set<std::uint64_t>{}
                                                : found->second;
        });
    this->tables.record_event(
        {0, unresponsive ? "peer_silent" : "peer_heard", 0, 0, "",
         "peer=" + peer.host + " waiting=" + std::to_string(waiting.size())});
    if (!unresponsive || !this->tables.platform_headers ||
        this->tables.draining)
    {
        return;
    }
    for (const auto attempt : waiting)
    {
        this->hedge(attempt, true);
    }
}

void caller_side::reconnect_lost_nodes()
{
    std::vector<decisions::target_address> disconnected;
    this->tables.routing.with(
        [&](routing_table& table)
        {
            for (const auto& [service, targets] : table.services)
            {
                const auto nodes = targets.disconnected_targets();
                disconnected.insert(
                    disconnected.end(), nodes.begin(), nodes.end());
            }
        });
    for (const auto& target : disconnected)
    {
        this->network->link_to({target.host, target.port});
    }
}

void caller_side::on_link_down(
    transport::link_id link, const transport::disconnect_info& loss)
{
    this->update_node_state(loss.peer, true);
    std::vector<std::uint64_t> attempts;
    this->outbound_calls.with(
        [&](outbound_call_table& table)
        {
            const auto found = table.by_link.find(link);
            if (found != table.by_link.end())
            {
                attempts.assign(found->second.begin(), found->second.end());
            }
            for (const auto attempt : attempts)
            {
                if (!is_unsent(loss, attempt))
                {
                    this->remember_unanswered(table, attempt, loss.peer);
                }
            }
        });
    for (const auto attempt : attempts)
    {
        const bool unsent = is_unsent(loss, attempt);
        const auto answer =
            unsent
                ? make_refusal(verdict::not_run, refusal::unreachable)
                : make_refusal(verdict::may_have_run, refusal::connection_lost);
        this->on_attempt_end(attempt, {answer, false});
    }
}
} // namespace bilberrytally::node
