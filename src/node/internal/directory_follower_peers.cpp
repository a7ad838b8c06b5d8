#include "node/internal/directory_follower.hpp"
#include "transport/message_codec.hpp"

// The part of directory_follower that exchanges changes with other nodes.
namespace bilberrytally::node
{
namespace
{
constexpr base::duration_ms digest_interval{500};
//! Items are sent to a peer that is behind only if this node's revision has not
//! changed for this long. The peer's own watch normally reports the change
//! earlier.
constexpr base::duration_ms settle_time{300};
//! A watching node sends digests no longer than this after the store's last
//! response. Together with announce_timeout this is the longest time for which
//! other nodes can miss a change.
constexpr base::duration_ms response_validity{900};
//! Watching nodes send a digest at least this often.
constexpr base::duration_ms announce_interval{400};
//! A peer that has not answered a query by then is taken not to answer; another
//! query may be sent.
constexpr base::duration_ms query_timeout{100};
//! Ages of proofs above this are of no use; it also rules out overflows.
constexpr std::uint64_t max_proof_age_ms = 3600000;
} // namespace

void directory_follower::on_digest(const schema::directory_digest& digest)
{
    const auto now = base::now();
    schema::store_revision local_revision;
    std::uint64_t local_configuration = 0;
    bool settled = false;
    this->state.with(
        [&](follower_state& state)
        {
            local_revision = state.view.revision();
            local_configuration = state.view.configuration_version();
            settled = now - state.revision_changed_at >= settle_time;
            const bool behind = digest.revision > local_revision;
            if (behind && !state.behind_since)
            {
                state.behind_since = now;
            }
            if (digest.watching)
            {
                state.watching_peer_heard_at = now;
            }
            this->on_peer_proof(state, digest, now);
        });
    const transport::peer_address peer{digest.host, digest.port};
    if (digest.revision > local_revision)
    {
        this->query_peer(peer, digest.revision);
        return;
    }
    if (digest.configuration > local_configuration)
    {
        // A store that was restored may not have this version any more; only
        // the complete list has it, too.
        this->send_query(peer, local_revision, {});
        return;
    }
    // A peer that is still behind after the time that its own watch needs gets
    // the items.
    if (digest.revision < local_revision && settled)
    {
        this->on_query(this->network->link_to(peer), {digest.revision});
    }
}

void directory_follower::on_peer_proof(
    follower_state& state, const schema::directory_digest& digest,
    base::time_ms now)
{
    const bool has_proof = digest.proof_age_ms <= max_proof_age_ms;
    if (!has_proof || now < state.trust_digests_from)
    {
        return;
    }
    const base::duration_ms age{static_cast<std::int64_t>(digest.proof_age_ms)};
    const auto buffered = this->tables.suspensions.buffered_time(now);
    state.freshness.on_claim(digest.revision, now - age - buffered);
    this->update_proof(state);
}

std::uint64_t directory_follower::proof_age_ms(base::time_ms now) const
{
    const auto age = this->tables.view_age(now);
    return age ? static_cast<std::uint64_t>(age->count) : UINT64_MAX;
}

void directory_follower::query_peer(
    const transport::peer_address& peer, const schema::store_revision& revision)
{
    const auto known = this->state.with([](follower_state& state)
                                        { return state.view.revision(); });
    this->send_query(peer, revision, known);
}

void directory_follower::send_query(
    const transport::peer_address& peer, const schema::store_revision& revision,
    const schema::store_revision& after)
{
    const auto now = base::now();
    const bool just_asked = this->state.with(
        [&](follower_state& state)
        {
            if (state.queried_revision >= revision &&
                now - state.queried_at < query_timeout)
            {
                return true;
            }
            state.queried_revision = revision;
            state.queried_at = now;
            return false;
        });
    if (just_asked)
    {
        return;
    }
    this->network->send(
        this->network->link_to(peer), transport::frame_kind::item_query,
        transport::encode(schema::item_query{after}));
}

void directory_follower::on_query(
    transport::link_id link, const schema::item_query& query)
{
    const auto list =
        this->state.with([&](follower_state& state)
                         { return state.view.changes_after(query.after); });
    this->network->send(
        link, transport::frame_kind::item_list, transport::encode(list));
}

void directory_follower::on_items(const schema::item_list& list)
{
    const auto old_revision = this->state.with(
        [&](follower_state& state)
        {
            state.view.begin_state(list.revision, base::now());
            return state.view.revision();
        });
    for (const auto& item : list.items)
    {
        this->apply_item(this->state.with(
            [&](follower_state& state)
            { return state.view.merge_from_peer(item, base::now()); }));
    }
    // The list begins at the revision that this node sent in its query or
    // digest, so nothing is missing up to the list's revision.
    const auto change =
        this->state.with([&](follower_state& state)
                         { return state.view.end_list(list, base::now()); });
    this->apply(change);
    if (list.revision > old_revision && !list.items.empty())
    {
        this->tables.record_event(
            {0, "items_from_peer", 0, 0, "",
             "after=" + schema::to_string(old_revision) +
                 " revision=" + schema::to_string(list.revision) +
                 " items=" + std::to_string(list.items.size())});
    }
}

std::optional<transport::peer_address>
directory_follower::pick_peer(follower_state& state) const
{
    const auto& local = this->tables.settings.node;
    std::vector<std::string> hosts;
    for (const auto& target : state.view.all_targets())
    {
        if (target.host != local.address)
        {
            hosts.push_back(target.host);
        }
    }
    if (hosts.empty())
    {
        return std::nullopt;
    }
    return transport::peer_address{
        hosts[state.random() % hosts.size()], local.node_port};
}

schema::directory_digest
directory_follower::make_digest(base::time_ms now, bool watching)
{
    const auto& local = this->tables.settings.node;
    schema::directory_digest digest;
    digest.host = local.address;
    digest.port = local.node_port;
    digest.watching = watching;
    digest.proof_age_ms = this->proof_age_ms(now);
    this->state.with(
        [&](follower_state& state)
        {
            digest.revision = state.view.revision();
            digest.configuration = state.view.configuration_version();
        });
    return digest;
}

void directory_follower::send_digest(base::time_ms now)
{
    const auto peer = this->state.with(
        [&](follower_state& state) -> std::optional<transport::peer_address>
        {
            if (now < state.next_digest)
            {
                return std::nullopt;
            }
            state.next_digest = now + digest_interval;
            return this->pick_peer(state);
        });
    if (peer)
    {
        this->network->send_datagram(
            *peer, transport::frame_kind::directory_digest,
            transport::encode(this->make_digest(now, false)));
    }
}

void directory_follower::announce_revision(base::time_ms now)
{
    const auto hosts = this->state.with(
        [&](follower_state& state) -> std::vector<std::string>
        {
            const auto revision = state.view.revision();
            const bool announcement_due = now >= state.next_announcement ||
                                          revision != state.announced_revision;
            const bool watch_current =
                !state.watcher->is_store_lost() &&
                now - state.watcher->last_success_time() < response_validity;
            if (state.role.peers_to_notify.empty() || !watch_current ||
                this->tables.draining || !announcement_due)
            {
                return {};
            }
            state.next_announcement = now + announce_interval;
            state.announced_revision = revision;
            return state.role.peers_to_notify;
        });
    if (hosts.empty())
    {
        return;
    }
    const auto digest = this->make_digest(now, true);
    const auto body = transport::encode(digest);
    for (const auto& host : hosts)
    {
        this->network->send_datagram(
            {host, digest.port}, transport::frame_kind::directory_digest, body);
    }
}
} // namespace bilberrytally::node
