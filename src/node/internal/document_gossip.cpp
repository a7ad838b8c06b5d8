#include "node/internal/document_gossip.hpp"

#include "decisions/dissemination_tree.hpp"
#include "transport/message_codec.hpp"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace bilberrytally::node
{
namespace
{
constexpr base::duration_ms digest_interval{1000};
constexpr base::duration_ms startup_digest_interval{100};
constexpr std::uint32_t startup_digests = 10;
//! One digest in this many, on average, goes to any zone, the others stay in
//! the local zone.
constexpr std::uint64_t any_zone_digest_period = 4;

std::vector<transport::peer_address> parse_seeds(const std::string& text)
{
    std::vector<transport::peer_address> seeds;
    std::istringstream stream(text);
    std::string item;
    while (std::getline(stream, item, ','))
    {
        const auto first = item.find_first_not_of(' ');
        const auto colon = item.rfind(':');
        if (first == std::string::npos || colon == std::string::npos)
        {
            continue;
        }
        std::uint32_t port = 0;
        std::from_chars(
            item.data() + colon + 1, item.data() + item.size(), port);
        seeds.push_back({item.substr(first, colon - first), port});
    }
    return seeds;
}
} // namespace

document_gossip::document_gossip(
    node_tables& tables,
    std::unique_ptr<configuration::configuration_client> client,
    std::function<void(const schema::service_policy&)> on_local_policy,
    std::function<void()> on_targets_changed)
    : tables(tables), client(std::move(client)),
      on_local_policy(std::move(on_local_policy)),
      on_targets_changed(std::move(on_targets_changed)),
      state(make_state(tables.settings, tables.incarnation))
{
}

document_gossip::gossip_state document_gossip::make_state(
    const schema::node_settings& settings, std::uint64_t seed)
{
    const auto now = base::now();
    const auto& platform = settings.platform;
    std::mt19937_64 random(seed);
    decisions::poll_schedule schedule(
        platform.readers_per_zone, platform.expected_fleet, {platform.wait_ms},
        random, now);
    return {schedule, random, {}, parse_seeds(settings.node.seeds), 0, now, 0};
}

void document_gossip::set_network(transport::peer_network& network)
{
    this->network = &network;
}

void document_gossip::on_document(
    const std::string& text, document_source source)
{
    base::handle(
        [&]() -> base::result<void>
        {
            BOOST_LEAF_AUTO(document, decisions::document::parse(text));
            const auto outcome = this->tables.documents.with(
                [&](auto& store) { return store.merge(document); });
            this->apply(document, source, outcome);
            return {};
        },
        [&](const base::error& failure)
        {
            this->tables.record_event(
                {0, "document_invalid", 0, 0, "", failure.text()});
        });
}

void document_gossip::apply(
    const decisions::document& document, document_source source,
    const decisions::merge_outcome& outcome)
{
    for (const auto& name : outcome.conflicts)
    {
        this->tables.record_event(
            {0, "ticket_conflict", 0, 0, name,
             "number=" + std::to_string(document.number)});
    }
    if (!outcome.changed())
    {
        return;
    }
    for (const auto& name : outcome.policies)
    {
        this->tables.record_event(
            {0, "ticket", 0, 0, name,
             "number=" + std::to_string(document.number)});
        const auto policy = this->tables.policy(name);
        if (name == this->tables.settings.node.service && policy)
        {
            this->on_local_policy(*policy);
        }
    }
    if (!outcome.lists.empty())
    {
        this->update_targets(outcome.lists);
        this->on_targets_changed();
        this->update_members();
    }
    this->push_to_peers(
        document, source == document_source::configuration_service);
}

void document_gossip::update_targets(const std::vector<std::string>& services)
{
    const auto now = base::now();
    const auto& local = this->tables.settings.node;
    for (const auto& name : services)
    {
        const auto list = this->tables.documents.with(
            [&](auto& store)
            {
                const auto* found = store.instances(name);
                return found == nullptr ? schema::instance_list{} : *found;
            });
        this->tables.record_event(
            {0, "instances", 0, 0, name,
             "number=" + std::to_string(list.number) +
                 " count=" + std::to_string(list.instances.size())});
        this->tables.routing.with(
            [&](routing_table& table)
            {
                auto& targets = table.services
                                    .try_emplace(
                                        name, local.instance, local.zone,
                                        this->tables.variant)
                                    .first->second;
                targets.set_placement_by_cost(
                    this->tables.settings.placement.by_cost);
                targets.apply(list, now);
            });
    }
}

void document_gossip::update_members()
{
    const auto& local = this->tables.settings.node;
    std::vector<member> members;
    this->tables.documents.with(
        [&](auto& store)
        {
            for (const auto& name : store.listed_services())
            {
                for (const auto& item : store.instances(name)->instances)
                {
                    members.push_back(
                        {item.id, item.zone, {item.host, item.port}});
                }
            }
        });
    std::vector<std::string> zone_instances;
    for (const auto& item : members)
    {
        if (item.zone == local.zone)
        {
            zone_instances.push_back(item.instance);
        }
    }
    const auto rank = decisions::watcher_rank(zone_instances, local.instance);
    this->state.with(
        [&](gossip_state& state)
        {
            state.schedule.set_rank(
                rank, static_cast<std::uint32_t>(zone_instances.size()),
                static_cast<std::uint32_t>(members.size()));
            state.members = std::move(members);
        });
}

void document_gossip::push_to_peers(
    const decisions::document& document, bool from_configuration_service)
{
    const auto& local = this->tables.settings.node;
    std::vector<transport::peer_address> peers;
    this->state.with(
        [&](gossip_state& state)
        {
            std::vector<std::string> zone_instances;
            for (const auto& item : state.members)
            {
                if (item.zone == local.zone)
                {
                    zone_instances.push_back(item.instance);
                }
            }
            const auto child_ids = decisions::dissemination_children(
                zone_instances, local.instance, document.digest,
                from_configuration_service);
            for (const auto& item : state.members)
            {
                if (std::find(
                        child_ids.begin(), child_ids.end(), item.instance) !=
                    child_ids.end())
                {
                    peers.push_back(item.address);
                }
            }
        });
    const auto body = transport::encode(schema::document{document.text});
    for (const auto& peer : peers)
    {
        const auto link = this->network->link_to(peer);
        this->network->send(link, transport::frame_kind::document, body);
    }
}

void document_gossip::on_digest(const schema::document_digest& digest)
{
    const auto now = base::now();
    if (digest.zone == this->tables.settings.node.zone)
    {
        this->state.with(
            [&](gossip_state& state)
            {
                state.schedule.on_zone_poll_succeeded(
                    {static_cast<std::int64_t>(digest.platform_age_ms)}, now);
            });
    }
    schema::summary summary;
    this->tables.documents.with(
        [&](auto& store)
        {
            if (store.content_hash() != digest.root)
            {
                summary.buckets = store.bucket_hashes();
            }
        });
    if (summary.buckets.empty())
    {
        return;
    }
    const auto link = this->network->link_to({digest.host, digest.port});
    this->network->send(
        link, transport::frame_kind::bucket_summary,
        transport::encode(summary));
}

void document_gossip::on_summary(
    transport::link_id link, const schema::summary& summary)
{
    if (summary.buckets.size() != decisions::document_buckets)
    {
        return;
    }
    schema::bucket_ids local_ids;
    // Asks the peer for its ids in turn.
    local_ids.reply = true;
    this->tables.documents.with(
        [&](auto& store)
        {
            const auto local_hashes = store.bucket_hashes();
            for (std::uint32_t i = 0; i < local_hashes.size(); ++i)
            {
                if (local_hashes[i] != summary.buckets[i])
                {
                    local_ids.buckets.push_back(i);
                }
            }
            local_ids.ids = store.ids(local_ids.buckets);
        });
    this->network->send(
        link, transport::frame_kind::bucket_ids, transport::encode(local_ids));
}

void document_gossip::on_bucket_ids(
    transport::link_id link, const schema::bucket_ids& ids)
{
    std::vector<std::string> missing;
    schema::bucket_ids local_ids;
    local_ids.buckets = ids.buckets;
    this->tables.documents.with(
        [&](auto& store)
        {
            missing = store.texts_not_known(ids.buckets, ids.ids);
            local_ids.ids = store.ids(ids.buckets);
        });
    for (auto& text : missing)
    {
        this->network->send(
            link, transport::frame_kind::document,
            transport::encode(schema::document{std::move(text)}));
    }
    if (ids.reply)
    {
        this->network->send(
            link, transport::frame_kind::bucket_ids,
            transport::encode(local_ids));
    }
}

void document_gossip::tick(base::time_ms now)
{
    bool watch_due = false;
    bool digest_due = false;
    this->state.with(
        [&](gossip_state& state)
        {
            watch_due = this->client && state.schedule.should_poll(now);
            digest_due = now >= state.next_digest;
            if (digest_due)
            {
                const bool starting = ++state.digests_sent < startup_digests;
                const auto interval =
                    starting ? startup_digest_interval : digest_interval;
                state.next_digest = now + interval;
            }
        });
    if (watch_due && !this->watching.exchange(true))
    {
        this->watch_configuration();
    }
    if (digest_due)
    {
        this->send_digest(now);
    }
}

void document_gossip::watch_configuration()
{
    ++this->requests_sent;
    const auto index = this->state.with([](gossip_state& state)
                                        { return state.change_index; });
    this->client->watch(
        index, {this->tables.settings.platform.wait_ms},
        [this](const configuration::watch_result& outcome)
        {
            this->on_watch_response(outcome);
            this->watching = false;
        });
}

void document_gossip::on_watch_response(
    const configuration::watch_result& outcome)
{
    const auto now = base::now();
    this->state.with(
        [&](gossip_state& state)
        {
            if (!outcome.changes)
            {
                state.schedule.on_failure(state.random, now);
                return;
            }
            state.schedule.on_success(now);
            state.change_index = outcome.changes->index;
        });
    if (!outcome.changes)
    {
        this->tables.record_event(
            {0, "platform_failed", 0, 0, "", outcome.failure});
        return;
    }
    for (const auto& text : outcome.changes->documents)
    {
        this->on_document(text, document_source::configuration_service);
    }
}

transport::peer_address document_gossip::pick_peer(gossip_state& state) const
{
    const auto& local = this->tables.settings.node;
    const bool any_zone = state.random() % any_zone_digest_period == 0;
    std::vector<transport::peer_address> candidates;
    for (const auto& item : state.members)
    {
        if (item.instance != local.instance &&
            (any_zone || item.zone == local.zone))
        {
            candidates.push_back(item.address);
        }
    }
    if (candidates.empty())
    {
        candidates = state.seeds;
    }
    return candidates.empty() ? transport::peer_address{}
                              : candidates[state.random() % candidates.size()];
}

void document_gossip::send_digest(base::time_ms now)
{
    const auto& local = this->tables.settings.node;
    schema::document_digest digest;
    digest.instance = local.instance;
    digest.incarnation = this->tables.incarnation;
    digest.zone = local.zone;
    digest.host = local.address;
    digest.port = local.node_port;
    digest.root = this->tables.documents.with([](auto& store)
                                              { return store.content_hash(); });
    const auto peer = this->state.with(
        [&](gossip_state& state)
        {
            digest.platform_age_ms = static_cast<std::uint64_t>(
                state.schedule.time_since_zone_success(now).count);
            return this->pick_peer(state);
        });
    if (peer.port != 0)
    {
        this->network->send_datagram(
            peer, transport::frame_kind::gossip_digest,
            transport::encode(digest));
    }
}

std::uint64_t document_gossip::request_count() const
{
    return this->requests_sent;
}
} // namespace bilberrytally::node
