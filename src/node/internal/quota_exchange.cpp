#include "node/internal/quota_exchange.hpp"

#include "base/hash.hpp"
#include "decisions/access_rule.hpp"
#include "transport/message_codec.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <unordered_set>
#include <utility>

namespace bilberrytally::node
{
namespace
{
constexpr double ms_per_s = 1000;
//! Bounds the asks in one datagram, so that it and its answer stay below the
//! 1,400 bytes that a datagram may have: an answer has 25 bytes for each ask.
constexpr std::size_t max_asks_per_datagram = 50;
//! Nodes that were dropped from the list are remembered for this many times the
//! wait of a new holder.
constexpr std::int64_t memory_waits = 4;
constexpr base::duration_ms use_interval{10000};
//! Workspaces with metrics of their own; the rest is counted together.
constexpr std::size_t reported_workspaces = 10;
constexpr const char* other_workspaces = "(others)";

base::duration_ms to_duration(double seconds)
{
    return {std::llround(seconds * ms_per_s)};
}

std::uint32_t to_wire(base::duration_ms time)
{
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(time.count, 0, UINT32_MAX));
}

base::duration_ms max_proof_age(const schema::node_settings& settings)
{
    return decisions::access_limits::create(
               to_duration(settings.fleet.apply_s), {0})
        .max_apply_age();
}
} // namespace

quota_exchange::quota_exchange(node_tables& tables, proof_age age)
    : tables(tables), age(std::move(age)),
      slots(
          tables.settings.node.address, tables.settings.node.zone,
          decisions::quota_grants(max_proof_age(tables.settings))
                  .takeover_wait() *
              memory_waits),
      grants(max_proof_age(tables.settings)),
      tokens(
          to_duration(tables.settings.fleet.quota_window_s),
          base::random_bits()),
      uses_since(base::now())
{
}

void quota_exchange::set_network(transport::peer_network& network)
{
    this->network = &network;
}

void quota_exchange::apply_workspaces(
    const std::vector<directory::workspace>& workspaces)
{
    std::vector<decisions::quota_limit> limits;
    std::unordered_set<std::uint64_t> ids;
    this->names.clear();
    for (const auto& workspace : workspaces)
    {
        if (workspace.rate_per_s <= 0)
        {
            continue;
        }
        const auto id = decisions::quota_id(workspace.name);
        limits.push_back({id, workspace.rate_per_s, workspace.burst});
        ids.insert(id);
        this->names[id] = workspace.name;
    }
    this->grants.apply(limits, base::now());
    this->tokens.apply(limits);
    this->slots.retain(ids);
    std::erase_if(
        this->uses, [&](const auto& use) { return ids.count(use.first) == 0; });
}

void quota_exchange::apply_nodes(const std::vector<quota_node>& nodes)
{
    this->slots.apply(nodes, base::now());
}

void quota_exchange::acquire(
    const std::shared_ptr<const directory::workspace>& workspace,
    decision_handler on_decision)
{
    const auto id = decisions::quota_id(workspace->name);
    const auto request = ++this->last_request;
    const auto decision = this->tokens.take(id, request, base::now());
    if (!decision)
    {
        this->waiting[request] = std::move(on_decision);
        return;
    }
    this->count(id, *decision);
    on_decision(*decision);
}

void quota_exchange::tick(base::time_ms now)
{
    this->update_proof(now);
    this->send_asks(now);
    this->finish_decided(now);
    this->record_changes(now);
    if (now - this->uses_since >= use_interval)
    {
        this->publish_use(now);
    }
}

void quota_exchange::update_proof(base::time_ms now)
{
    this->grants.on_proof(this->age(), now);
}

void quota_exchange::send_asks(base::time_ms now)
{
    const auto asked = this->tokens.asks(
        [this](std::uint64_t workspace)
        { return this->slots.order(workspace); },
        now);
    std::map<std::string, std::vector<schema::quota_ask>> by_holder;
    for (const auto& ask : asked.asks)
    {
        const schema::quota_ask entry{ask.workspace, ask.slot, ask.wanted};
        const auto holder = this->slots.holder(ask.workspace, ask.slot);
        if (holder == this->tables.settings.node.address)
        {
            this->tokens.on_grant(
                asked.number, ask.workspace, ask.slot, this->grant(entry, now),
                now);
            continue;
        }
        by_holder[holder].push_back(entry);
    }
    for (const auto& [holder, asks] : by_holder)
    {
        this->send_request(holder, asked.number, asks);
    }
}

void quota_exchange::send_request(
    const std::string& holder, std::uint64_t number,
    const std::vector<schema::quota_ask>& asks)
{
    const auto& local = this->tables.settings.node;
    for (std::size_t from = 0; from < asks.size();
         from += max_asks_per_datagram)
    {
        const auto to = std::min(from + max_asks_per_datagram, asks.size());
        schema::quota_request request;
        request.host = local.address;
        request.port = local.node_port;
        request.number = number;
        request.asks.assign(
            asks.begin() + static_cast<std::ptrdiff_t>(from),
            asks.begin() + static_cast<std::ptrdiff_t>(to));
        this->network->send_datagram(
            {holder, local.node_port}, transport::frame_kind::quota_request,
            transport::encode(request));
    }
}

decisions::slot_grant
quota_exchange::grant(const schema::quota_ask& ask, base::time_ms now)
{
    // Ids and slots of other nodes are checked before they are looked up, as a
    // look-up adds them to a cache.
    if (ask.slot >= decisions::quota_slot_count ||
        this->names.count(ask.workspace) == 0)
    {
        return {};
    }
    return this->grants.grant(
        ask.workspace, ask.slot, ask.wanted,
        this->slots.held_since(ask.workspace, ask.slot), now);
}

void quota_exchange::on_request(const schema::quota_request& request)
{
    const auto now = base::now();
    this->update_proof(now);
    schema::quota_grant response;
    response.number = request.number;
    for (const auto& ask : request.asks)
    {
        const auto granted = this->grant(ask, now);
        response.grants.push_back(
            {ask.workspace, ask.slot, granted.granting, granted.granted,
             granted.left, to_wire(granted.next)});
    }
    this->network->send_datagram(
        {request.host, request.port}, transport::frame_kind::quota_grant,
        transport::encode(response));
}

void quota_exchange::on_grant(const schema::quota_grant& grant)
{
    const auto now = base::now();
    for (const auto& slot : grant.grants)
    {
        this->tokens.on_grant(
            grant.number, slot.workspace, slot.slot,
            {slot.granting, slot.granted, slot.left, {slot.next_ms}}, now);
    }
    this->finish_decided(now);
}

void quota_exchange::finish_decided(base::time_ms now)
{
    for (const auto& decided : this->tokens.decide(now))
    {
        auto handler = this->waiting.extract(decided.request);
        this->count(decided.workspace, decided.decision);
        handler.mapped()(decided.decision);
    }
}

void quota_exchange::count(
    std::uint64_t workspace, const quota_decision& decision)
{
    if (this->names.count(workspace) == 0)
    {
        return;
    }
    auto& entry = this->uses[workspace];
    ++(decision.granted ? entry.granted : entry.refused);
}

void quota_exchange::record_changes(base::time_ms now)
{
    for (const auto& change : this->tokens.changes(now))
    {
        this->tables.record_event(
            {0, change.limiting ? "quota_limiting" : "quota_not_limiting", 0, 0,
             this->name_of(change.workspace), ""});
    }
}

void quota_exchange::publish_use(base::time_ms now)
{
    const double seconds =
        static_cast<double>((now - this->uses_since).count) / ms_per_s;
    std::vector<workspace_use> published;
    for (const auto& [workspace, use] : this->uses)
    {
        published.push_back(
            {this->name_of(workspace),
             static_cast<double>(use.granted) / seconds,
             static_cast<double>(use.refused) / seconds});
    }
    std::sort(
        published.begin(), published.end(),
        [](const auto& a, const auto& b)
        {
            return a.granted_per_s + a.refused_per_s >
                   b.granted_per_s + b.refused_per_s;
        });
    workspace_use others{other_workspaces, 0, 0};
    for (std::size_t i = reported_workspaces; i < published.size(); ++i)
    {
        others.granted_per_s += published[i].granted_per_s;
        others.refused_per_s += published[i].refused_per_s;
    }
    if (published.size() > reported_workspaces)
    {
        published.resize(reported_workspaces);
        published.push_back(others);
    }
    this->tables.node_metrics.set_workspace_use(published);
    this->uses.clear();
    this->uses_since = now;
}

std::string quota_exchange::name_of(std::uint64_t workspace) const
{
    const auto found = this->names.find(workspace);
    return found == this->names.end() ? "" : found->second;
}
} // namespace bilberrytally::node
