#include "node/internal/spreader.hpp"

#include "decisions/spread_tree.hpp"
#include "transport/message_codec.hpp"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace bilberrytally::node
{
namespace
{
constexpr base::duration_ms digest_interval{1000};
constexpr base::duration_ms first_digest_interval{100};
constexpr std::uint32_t first_digests = 10;
//! One digest in this many goes to any zone, the others to the own zone.
constexpr std::uint64_t far_digest_one_in = 4;

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

spreader::spreader(
    node_tables& tables,
    std::unique_ptr<configuration::configuration_client> client,
    std::function<void(const schema::service_policy&)> on_own_policy)
    : tables(tables), client(std::move(client)),
      on_own_policy(std::move(on_own_policy)),
      state(make_state(tables.settings, tables.incarnation))
{
}

spreader::spread_state
spreader::make_state(const schema::node_settings& settings, std::uint64_t seed)
{
    const auto now = base::now();
    const auto& platform = settings.platform;
    std::mt19937_64 random(seed);
    decisions::reader_schedule schedule(
        platform.readers_per_zone, platform.expected_fleet, {platform.wait_ms},
        random, now);
    return {schedule, random, {}, parse_seeds(settings.node.seeds), 0, now, 0};
}

void spreader::attach(transport::peer_network& network)
{
    this->network = &network;
}

void spreader::on_document(const std::string& text, document_source source)
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
        [&](const base::error& failure) {
            this->tables.note(
                {0, "document_invalid", 0, 0, "", failure.text()});
        });
}

void spreader::apply(
    const decisions::document& document, document_source source,
    const decisions::merge_outcome& outcome)
{
    for (const auto& name : outcome.conflicts)
    {
        this->tables.note(
            {0, "ticket_conflict", 0, 0, name,
             "number=" + std::to_string(document.number)});
    }
    if (!outcome.changed())
    {
        return;
    }
    for (const auto& name : outcome.policies)
    {
        this->tables.note(
            {0, "ticket", 0, 0, name,
             "number=" + std::to_string(document.number)});
        const auto policy = this->tables.policy(name);
        if (name == this->tables.settings.node.service && policy)
        {
            this->on_own_policy(*policy);
        }
    }
    if (!outcome.lists.empty())
    {
        this->update_targets(outcome.lists);
        this->update_members();
    }
    this->push(document, source == document_source::platform);
}

void spreader::update_targets(const std::vector<std::string>& services)
{
    const auto now = base::now();
    const auto& own = this->tables.settings.node;
    for (const auto& name : services)
    {
        const auto list = this->tables.documents.with(
            [&](auto& store)
            {
                const auto* found = store.instances(name);
                return found == nullptr ? schema::instance_list{} : *found;
            });
        this->tables.note(
            {0, "instances", 0, 0, name,
             "number=" + std::to_string(list.number) +
                 " count=" + std::to_string(list.instances.size())});
        this->tables.routing.with(
            [&](routing_table& table)
            {
                table.services
                    .try_emplace(
                        name, own.instance, own.zone, this->tables.variant)
                    .first->second.apply(list, now);
            });
    }
}

void spreader::update_members()
{
    const auto& own = this->tables.settings.node;
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
    std::vector<std::string> zone;
    for (const auto& item : members)
    {
        if (item.zone == own.zone)
        {
            zone.push_back(item.instance);
        }
    }
    const auto rank = decisions::reader_rank(zone, own.instance);
    this->state.with(
        [&](spread_state& state)
        {
            state.schedule.set_rank(
                rank, static_cast<std::uint32_t>(zone.size()),
                static_cast<std::uint32_t>(members.size()));
            state.members = std::move(members);
        });
}

void spreader::push(const decisions::document& document, bool from_outside)
{
    const auto& own = this->tables.settings.node;
    std::vector<transport::peer_address> children;
    this->state.with(
        [&](spread_state& state)
        {
            std::vector<std::string> zone;
            for (const auto& item : state.members)
            {
                if (item.zone == own.zone)
                {
                    zone.push_back(item.instance);
                }
            }
            const auto names = decisions::spread_children(
                zone, own.instance, document.digest, from_outside);
            for (const auto& item : state.members)
            {
                if (std::find(names.begin(), names.end(), item.instance) !=
                    names.end())
                {
                    children.push_back(item.address);
                }
            }
        });
    const auto body = transport::encode(schema::document{document.text});
    for (const auto& child : children)
    {
        const auto link = this->network->link_to(child);
        this->network->send(link, transport::frame_kind::document, body, 0);
    }
}

void spreader::on_digest(const schema::digest& digest)
{
    const auto now = base::now();
    if (digest.zone == this->tables.settings.node.zone)
    {
        this->state.with(
            [&](spread_state& state)
            {
                state.schedule.on_zone_read(
                    {static_cast<std::int64_t>(digest.platform_age_ms)}, now);
            });
    }
    schema::summary summary;
    this->tables.documents.with(
        [&](auto& store)
        {
            if (store.root() != digest.root)
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
        link, transport::frame_kind::summary, transport::encode(summary), 0);
}

void spreader::on_summary(
    transport::link_id link, const schema::summary& summary)
{
    if (summary.buckets.size() != decisions::document_buckets)
    {
        return;
    }
    schema::bucket_ids reply;
    reply.reply = true;
    this->tables.documents.with(
        [&](auto& store)
        {
            const auto own = store.bucket_hashes();
            for (std::uint32_t i = 0; i < own.size(); ++i)
            {
                if (own[i] != summary.buckets[i])
                {
                    reply.buckets.push_back(i);
                }
            }
            reply.ids = store.ids(reply.buckets);
        });
    this->network->send(
        link, transport::frame_kind::bucket_ids, transport::encode(reply), 0);
}

void spreader::on_bucket_ids(
    transport::link_id link, const schema::bucket_ids& ids)
{
    std::vector<std::string> missing;
    schema::bucket_ids reply;
    reply.buckets = ids.buckets;
    this->tables.documents.with(
        [&](auto& store)
        {
            missing = store.missing_from(ids.buckets, ids.ids);
            reply.ids = store.ids(ids.buckets);
        });
    for (auto& text : missing)
    {
        this->network->send(
            link, transport::frame_kind::document,
            transport::encode(schema::document{std::move(text)}), 0);
    }
    if (ids.reply)
    {
        this->network->send(
            link, transport::frame_kind::bucket_ids, transport::encode(reply),
            0);
    }
}

void spreader::tick(base::time_ms now)
{
    bool read = false;
    bool digest = false;
    this->state.with(
        [&](spread_state& state)
        {
            read = this->client && state.schedule.should_read(now);
            digest = now >= state.next_digest;
            if (digest)
            {
                const bool early = ++state.digests < first_digests;
                const auto span =
                    early ? first_digest_interval : digest_interval;
                state.next_digest = now + span;
            }
        });
    if (read && !this->reading.exchange(true))
    {
        this->read_platform();
    }
    if (digest)
    {
        this->send_digest(now);
    }
}

void spreader::read_platform()
{
    ++this->reads;
    const auto index =
        this->state.with([](spread_state& state) { return state.index; });
    this->client->read(
        index, {this->tables.settings.platform.wait_ms},
        [this](const configuration::read_outcome& outcome)
        {
            this->on_read(outcome);
            this->reading = false;
        });
}

void spreader::on_read(const configuration::read_outcome& outcome)
{
    const auto now = base::now();
    this->state.with(
        [&](spread_state& state)
        {
            if (!outcome.changes)
            {
                state.schedule.on_failure(state.random, now);
                return;
            }
            state.schedule.on_success(now);
            state.index = outcome.changes->index;
        });
    if (!outcome.changes)
    {
        this->tables.note({0, "platform_failed", 0, 0, "", outcome.failure});
        return;
    }
    for (const auto& text : outcome.changes->documents)
    {
        this->on_document(text, document_source::platform);
    }
}

transport::peer_address spreader::pick_peer(spread_state& state) const
{
    const auto& own = this->tables.settings.node;
    const bool far = state.random() % far_digest_one_in == 0;
    std::vector<transport::peer_address> pool;
    for (const auto& item : state.members)
    {
        if (item.instance != own.instance && (far || item.zone == own.zone))
        {
            pool.push_back(item.address);
        }
    }
    if (pool.empty())
    {
        pool = state.seeds;
    }
    return pool.empty() ? transport::peer_address{}
                        : pool[state.random() % pool.size()];
}

void spreader::send_digest(base::time_ms now)
{
    const auto& own = this->tables.settings.node;
    schema::digest digest;
    digest.instance = own.instance;
    digest.incarnation = this->tables.incarnation;
    digest.zone = own.zone;
    digest.host = own.address;
    digest.port = own.node_port;
    digest.root =
        this->tables.documents.with([](auto& store) { return store.root(); });
    const auto peer = this->state.with(
        [&](spread_state& state)
        {
            digest.platform_age_ms =
                static_cast<std::uint64_t>(state.schedule.zone_age(now).count);
            return this->pick_peer(state);
        });
    if (peer.port != 0)
    {
        this->network->send_datagram(
            peer, transport::frame_kind::digest, transport::encode(digest));
    }
}

std::uint64_t spreader::platform_reads() const
{
    return this->reads;
}
} // namespace bilberrytally::node
