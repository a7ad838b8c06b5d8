#pragma once

#include "base/time.hpp"
#include "decisions/policy_variant.hpp"
#include "schema/documents.hpp"
#include "schema/messages.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberrytally::decisions
{
//! Why a target is not chosen, for operators.
enum class target_state
{
    available,
    listed_leaving, //!< The instance list says leaving.
    draining,       //!< The target itself said so.
    unreachable,    //!< Its connection failed a moment ago.
    ejected,        //!< Slow or failing compared with its peers.
};

std::string_view to_string(target_state state);

//! Where the node of a target listens.
struct target_address
{
    std::string instance;
    std::string host;
    std::uint32_t port{0};

    auto operator<=>(const target_address&) const = default;
};

//! A row for operators.
struct target_view
{
    target_address address;
    std::string zone;
    target_state state{target_state::available};
    std::uint32_t in_flight{0};
    double latency_ms{0};
    std::uint32_t floor{0};

    bool operator==(const target_view&) const = default;
};

//! How a dispatched call ended, as seen by the caller's node.
struct dispatch_result
{
    bool answered{false};
    //! Cancelled by the caller's node since it took too long.
    bool abandoned{false};
    //! The target refused the call before it ran.
    bool refused{false};
    base::duration_ms latency;
    schema::load_report load;
};

//! The targets of one service as seen by one caller's node, and the choice
//! among them: own availability zone first, a deterministic subset, the better
//! of two random ones by calls in flight times recent latency.
class target_table
{
public:
    //! \p self is the choosing instance, \p zone its availability zone.
    target_table(
        std::string self, std::string zone,
        policy_variant variant = full_policy{});

    //! A target's word that it takes no new work holds for \p span only, and
    //! is then asked for again; for good where this is not set. For fleets in
    //! which a node restarts beside a target that goes on.
    void set_drain_lapse(base::duration_ms span);

    //! Takes the instance list; targets that have denied work stay denied.
    void apply(const schema::instance_list& list, base::time_ms now);

    //! Chooses a target outside \p excluded; nothing if there is none.
    std::optional<target_address> choose(
        const std::set<std::string>& excluded, std::mt19937_64& random,
        base::time_ms now);

    //! True if every target that could be chosen refuses this class now.
    bool floor_refuses(
        std::uint32_t priority, std::mt19937_64& random,
        base::time_ms now) const;

    //! True if a target outside \p excluded has free slots by its last report,
    //! or has not been asked lately.
    bool has_spare_target(
        const std::set<std::string>& excluded, base::time_ms now) const;

    void on_dispatch(const std::string& instance, base::time_ms now);
    void on_result(
        const std::string& instance, const dispatch_result& result,
        base::time_ms now);
    void on_unreachable(const std::string& instance, base::time_ms now);
    void on_reachable(const std::string& instance);
    //! The connection to the node at an address is lost or silent. Its targets
    //! get no calls until on_node_state() or on_node_heard().
    void on_node_lost(const std::string& host, std::uint32_t port);
    void on_node_heard(const std::string& host, std::uint32_t port);
    //! Nodes of targets that could be chosen, whose connection is lost.
    std::vector<target_address> lost_nodes() const;
    void
    on_draining(const std::string& instance, bool draining, base::time_ms now);

    //! What the node at an address says of itself.
    void on_node_state(
        const std::string& host, std::uint32_t port, bool draining,
        base::time_ms now);

    //! Target that owns \p key by rendezvous hashing over all listed targets
    //! but \p excluded.
    std::optional<target_address>
    owner(std::uint64_t key, const std::set<std::string>& excluded = {}) const;

    //! Address of a listed target.
    std::optional<target_address> find(const std::string& instance) const;

    std::vector<target_view> view(base::time_ms now) const;
    bool contains(const std::string& instance) const;

private:
    struct target
    {
        target_address address;
        std::string zone;
        bool listed_leaving{false};
        bool draining{false};
        base::time_ms drained_at{INT64_MIN / 2};
        base::time_ms first_seen;
        base::time_ms unreachable_until{INT64_MIN / 2};
        base::duration_ms unreachable_for{0};
        base::time_ms ejected_until{INT64_MIN / 2};
        base::time_ms last_probe{INT64_MIN / 2};
        base::duration_ms probe_interval{0};
        base::time_ms floor_until{INT64_MIN / 2};
        std::uint32_t floor{0};
        std::uint32_t in_flight{0};
        std::uint32_t reported_in_flight{0};
        std::uint32_t reported_limit{0};
        base::time_ms reported_at{INT64_MIN / 2};
        std::uint32_t failures{0};
        //! Start of the present wait for any answer.
        base::time_ms silent_since;
        std::uint64_t samples{0};
        double latency_ms{0};
        bool new_comer{false};
        bool node_lost{false};
    };

    target_state state_of(const target& candidate, base::time_ms now) const;
    double cost(const target& candidate, base::time_ms now) const;
    bool is_saturated(const target& candidate, base::time_ms now) const;
    std::vector<target*>
    candidates(const std::set<std::string>& excluded, base::time_ms now);
    double
    lowest_cost(const std::vector<target*>& pool, base::time_ms now) const;
    //! Another available target could take more work.
    bool others_have_room(const target& except, base::time_ms now) const;
    //! Chooses anew the few targets of the own and of other zones that this
    //! node connects to.
    void update_subset();
    std::vector<std::string> nearest(bool own_zone) const;
    target* probe_due(const std::set<std::string>& excluded, base::time_ms now);
    target* better_of_two(
        std::vector<target*>& pool, std::mt19937_64& random,
        base::time_ms now) const;
    void eject_if_slow(target& candidate, base::time_ms now);
    double median_latency(const target& except) const;
    std::size_t ejected_count(base::time_ms now) const;

    std::optional<target_address>
    next_in_turn(const std::set<std::string>& excluded);

    std::string self;
    std::string zone;
    policy_variant variant;
    std::size_t turn{0};
    std::optional<base::duration_ms> drain_lapse;
    bool list_known{false};
    //! Ids of the targets that choices are made among.
    std::vector<std::string> subset;
    std::unordered_map<std::string, target> targets;
};
} // namespace bilberrytally::decisions
