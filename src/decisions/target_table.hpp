#pragma once

#include "base/time.hpp"
#include "decisions/call_cost.hpp"
#include "decisions/policy_variant.hpp"
#include "schema/documents.hpp"
#include "schema/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberrytally::decisions
{
//! Whether a target can be chosen, and if not, why.
enum class target_state
{
    available,
    listed_leaving, //!< The instance list marks it as leaving.
    draining,       //!< The target reported that it refuses new calls.
    unreachable,    //!< Its node is disconnected, or a connection just failed.
    ejected,        //!< It is slow or failing compared with its peers.
};

//! Name of a state, as shown to operators.
std::string_view to_string(target_state state);

//! Address at which the node of a target listens.
struct target_address
{
    std::string instance;
    std::string host;
    std::uint32_t port{0};

    auto operator<=>(const target_address&) const = default;
};

//! One process of a target. A target that starts again may keep its id.
struct target_process
{
    std::string instance;
    //! Start as listed, in ms since the epoch; 0 if unknown.
    std::uint64_t started_at_ms{0};

    auto operator<=>(const target_process&) const = default;
};

//! One target, as shown to operators.
struct target_view
{
    target_address address;
    std::string zone;
    target_state state{target_state::available};
    std::uint32_t in_flight{0};
    double latency_ms{0};
    //! Shed threshold: classes with a greater number are shed; 255 for none.
    std::uint32_t floor{0};

    bool operator==(const target_view&) const = default;
};

//! Outcome of a dispatched call, as seen by the caller's node.
struct dispatch_result
{
    //! The target answered; otherwise the call counts as a failure.
    bool answered{false};
    //! The caller's node cancelled the call because it took too long.
    bool abandoned{false};
    //! The target refused the call before it ran.
    bool refused{false};
    base::duration_ms latency;
    schema::load_report load;
    //! The backend server itself failed or rejected the call, although its
    //! node admitted it. Its latency says nothing about served calls.
    bool backend_failed{false};
    //! Kind of the call, as in its call_profile.
    std::uint64_t kind{0};
    //! Time in ms from the dispatch to the answer; unlike \c latency never a
    //! percentage.
    base::duration_ms elapsed{};
    //! Service time at the backend server; nothing if the target did not tell.
    std::optional<base::duration_ms> service_time{};
};

//! What the caller's node knows about a call before it chooses a target.
struct call_profile
{
    //! Mean latency of similar calls, in ms. If it is set, the latencies of
    //! dispatch_result are percentages of it. 0 if unknown.
    double mean_latency_ms{0};
    //! Time within which the caller needs the response; 0 if not stated.
    base::duration_ms latency_objective;
    //! Class by which targets shed the call; 0 is shed last.
    std::uint32_t shed_class{0};
    //! Kind of calls that cost alike, see call_kind(); 0 if unknown.
    std::uint64_t kind{0};

    bool operator==(const call_profile&) const = default;
};

//! The targets of one service as seen by one caller's node, and the choice
//! among them. Chooses from a deterministic subset, prefers the local
//! availability zone, and takes the better of two random targets by in-flight
//! calls times recent latency. Where the latency objective of a call is known,
//! share_leaving_zone() decides how many calls leave the local zone.
//!
//! With placement by cost, targets are compared by the time at which a call is
//! expected to complete there: the work that the target reported as left, the
//! calls sent to it since, and the call's own cost at the target's speed.
//! Reports that grow old lose their part in the choice.
class target_table
{
public:
    //! \p self is the instance that chooses, \p zone its availability zone.
    target_table(
        std::string self, std::string zone,
        policy_variant variant = full_policy{});

    //! Lets a target's report that it is draining expire after \p lifetime; the
    //! target is then tried again. Without this call such a report holds until
    //! the target reports otherwise. For fleets in which a node may restart
    //! while its backend server keeps running.
    void set_drain_report_lifetime(base::duration_ms lifetime);

    //! Places calls by their expected cost. Off without this call.
    void set_placement_by_cost(bool enabled);

    //! Applies an instance list. A target that reported that it is draining
    //! stays draining, unless its address changed.
    void apply(const schema::instance_list& list, base::time_ms now);

    //! Chooses a target that is not in \p excluded; nothing if there is none.
    std::optional<target_address> choose(
        const std::set<std::string>& excluded, std::mt19937_64& random,
        base::time_ms now, const call_profile& profile = {});

    //! True if all available targets shed this priority class now. Some calls
    //! are let through at random, to probe whether the targets still do.
    bool all_targets_shed(
        std::uint32_t priority, std::mt19937_64& random,
        base::time_ms now) const;

    //! True if an available target that is not in \p excluded had spare slots
    //! in its last report, or has no recent report.
    bool has_spare_target(
        const std::set<std::string>& excluded, base::time_ms now) const;

    //! Records that a call of this kind was sent to a target.
    void on_dispatch(
        const std::string& instance, base::time_ms now, std::uint64_t kind = 0);
    //! Records the outcome of a call that was sent to a target.
    void on_result(
        const std::string& instance, const dispatch_result& result,
        base::time_ms now);
    //! Records that a connection to a target failed: no calls for a backoff of
    //! 100 ms that doubles up to 2 s, until on_reachable().
    void on_unreachable(const std::string& instance, base::time_ms now);
    void on_reachable(const std::string& instance);
    //! Records that the node at an address is disconnected or unresponsive. Its
    //! targets get no calls until on_node_state(), on_node_responsive() or
    //! on_reachable().
    void on_node_disconnected(const std::string& host, std::uint32_t port);
    //! Records that the node at an address is responsive again.
    void on_node_responsive(const std::string& host, std::uint32_t port);
    //! Addresses of the targets in the subset whose node is disconnected.
    std::vector<target_address> disconnected_targets() const;
    //! Records whether a target refuses new calls.
    void
    on_draining(const std::string& instance, bool draining, base::time_ms now);

    //! Records that a process of a target stated in a response that it is
    //! leaving. The target gets no calls while it is listed with this process,
    //! even if it is dropped from the list and comes back.
    void on_stated_leaving(const target_process& process, base::time_ms now);
    //! True if the listed process of the target stated that it is leaving; if
    //! the target is not listed, whether any of its processes did.
    bool has_stated_leaving(const std::string& instance) const;
    //! Start of the listed process of a target; 0 if it is not listed.
    std::uint64_t started_at_ms(const std::string& instance) const;

    //! Since when a target is listed as leaving, or has been dropped from the
    //! list; nothing if it is listed as live or was never listed.
    std::optional<base::time_ms>
    listed_leaving_since(const std::string& instance) const;

    //! Records the state that the node at an address reports of itself, which
    //! also proves it reachable.
    void on_node_state(
        const std::string& host, std::uint32_t port, bool draining,
        base::time_ms now);

    //! Target that owns \p key by rendezvous hashing over all listed targets
    //! that are not in \p excluded and have not stated that they are leaving;
    //! nothing if there is none.
    std::optional<target_address>
    owner(std::uint64_t key, const std::set<std::string>& excluded = {}) const;

    //! Target that does the probe run of a suspected request: the owner of its
    //! \p fingerprint among the targets that it has not crashed, or among all
    //! if it has crashed each of them. Nothing if all targets are leaving.
    std::optional<target_address> probe_target(
        std::uint64_t fingerprint, const std::set<std::string>& crashed) const;

    //! Address of a listed target; nothing if it is not listed.
    std::optional<target_address> find(const std::string& instance) const;

    //! All listed targets, ordered by address.
    std::vector<target_view> view(base::time_ms now) const;
    //! True if the target is listed.
    bool contains(const std::string& instance) const;

private:
    struct target
    {
        target_address address;
        std::string zone;
        std::uint64_t started_at_ms{0};
        bool listed_leaving{false};
        bool draining{false};
        base::time_ms drain_reported_at{INT64_MIN / 2};
        base::time_ms first_seen;
        base::time_ms unreachable_until{INT64_MIN / 2};
        base::duration_ms unreachable_backoff{0};
        base::time_ms ejected_until{INT64_MIN / 2};
        base::time_ms last_probe{INT64_MIN / 2};
        base::duration_ms probe_interval{0};
        base::time_ms floor_until{INT64_MIN / 2};
        std::uint32_t floor{0};
        //! Calls of this node that are in flight to the target.
        std::uint32_t in_flight{0};
        //! Running and waiting calls of all callers, as the target reported.
        std::uint32_t reported_in_flight{0};
        std::uint32_t reported_limit{0};
        //! Time in ms that calls wait before the target's node handles them.
        std::uint32_t reported_input_delay_ms{0};
        base::time_ms reported_at{INT64_MIN / 2};
        std::uint32_t failures{0};
        //! Since when calls are in flight without any answer.
        base::time_ms unanswered_since;
        std::uint64_t samples{0};
        double latency_ms{0};
        //! Moving average of the share of calls that the backend server failed.
        double failed_share{0};
        //! The target joined after the first list and gets a growing share.
        bool needs_warmup{false};
        bool node_disconnected{false};
        server_slowness slowness;
        //! Work left as reported, in ms; nothing if the last report lacks it.
        std::optional<double> reported_work_ms;
        //! Calls of this node sent since the last report, less those answered,
        //! and their expected work in ms.
        std::int64_t sent_calls{0};
        double sent_work_ms{0};
        //! Moving average of the calls at the target for each one of this node.
        double load_ratio{1};
        //! Moving average of the time that answered calls have waited, in ms.
        double waited_ms{0};
        base::time_ms waited_at{INT64_MIN / 2};
    };

    //! Forgets old statements of processes that are not listed any more.
    void forget_stated_leaving(base::time_ms now);
    bool is_listed(const target_process& process) const;
    //! Records which targets the list marks as leaving or has just dropped.
    void
    update_listed_leaving(const schema::instance_list& list, base::time_ms now);
    target_state state_of(const target& candidate, base::time_ms now) const;
    //! Expected cost of one more call: load times latency, higher for a target
    //! that warms up. Lower is better.
    double cost(const target& candidate, base::time_ms now) const;
    //! Share (0 to 1) of its full load that a target gets while it warms up.
    static double warmup_share(const target& candidate, base::time_ms now);
    //! Time for which calls in flight have waited without any answer, in ms.
    static double unanswered_ms(const target& candidate, base::time_ms now);
    //! Latency that a call is expected to have, in ms, with the latency
    //! objective added for the share of calls that the target fails.
    double expected_ms(
        const target& candidate, const call_profile& profile,
        base::time_ms now) const;
    //! True if the target has no room for a call of this class: it sheds the
    //! class, its node handles calls late, or more calls wait than it can start
    //! soon.
    bool is_saturated(
        const target& candidate, std::uint32_t shed_class,
        base::time_ms now) const;
    //! Targets that a call may be sent to: those of the local zone, or of all
    //! zones.
    std::vector<target*> candidates(
        const std::set<std::string>& excluded, const call_profile& profile,
        std::mt19937_64& random, base::time_ms now);
    //! True if the node of the target recently reported that calls wait for it.
    static bool is_node_busy(const target& candidate, base::time_ms now);
    //! True if the call is sent to one of the targets of the local zone.
    bool stays_local(
        const std::vector<target*>& local, const std::vector<target*>& all,
        const call_profile& profile, std::mt19937_64& random,
        base::time_ms now) const;
    //! True if the best target of the local zone costs at most \p preference
    //! times as much as the best one of all zones.
    bool is_local_cheap(
        const std::vector<target*>& local, const std::vector<target*>& all,
        double preference, base::time_ms now) const;
    double
    lowest_cost(const std::vector<target*>& pool, base::time_ms now) const;
    //! True if another available target in the subset is not saturated for
    //! calls of this class.
    bool others_have_capacity(
        const target& except, std::uint32_t shed_class,
        base::time_ms now) const;
    //! Chooses again the few targets of the local zone and of other zones that
    //! this node connects to.
    void update_subset();
    //! Targets of the local zone, or of all others, with the highest rendezvous
    //! hashes.
    std::vector<std::string> rendezvous_subset(bool local_zone) const;
    //! An ejected, idle target that is due for a probe call; null if none is.
    target* probe_due(const std::set<std::string>& excluded, base::time_ms now);
    target* better_of_two(
        std::vector<target*>& pool, std::mt19937_64& random,
        base::time_ms now) const;
    //! The best of a few random targets by placement_score(); null if one of
    //! them has no recent report.
    target* best_by_cost(
        std::vector<target*>& pool, const call_profile& profile,
        std::mt19937_64& random, base::time_ms now) const;
    //! How much a call burdens a target and its caller: the share of the slots
    //! in use, and a penalty for a late answer. Lower is better.
    double placement_score(
        const target& candidate, const call_profile& profile,
        base::time_ms now) const;
    //! Time in ms after which the call is expected to be answered, with the
    //! latency objective added for the share of calls that the target fails.
    double completion_ms(
        const target& candidate, const call_profile& profile,
        base::time_ms now) const;
    //! Time in ms that a call is expected to wait for a slot.
    double expected_wait_ms(const target& candidate, base::time_ms now) const;
    //! Running and waiting calls of all callers by now, estimated from the
    //! report and from what this node has sent since.
    static double calls_at(const target& candidate);
    static bool has_work_report(
        const target& candidate, base::duration_ms max_age, base::time_ms now);
    //! Records what an answer says about costs.
    void update_costs(
        target& candidate, const dispatch_result& result, base::time_ms now);
    //! Ejects a target that is slow or failing, or ends its ejection.
    void update_ejection(target& candidate, base::time_ms now);
    double median_latency(const target& except) const;
    std::size_t ejected_count(base::time_ms now) const;

    //! Round robin over all listed targets, for the baseline variants.
    std::optional<target_address>
    next_round_robin(const std::set<std::string>& excluded);

    std::string self;
    std::string zone;
    policy_variant variant;
    std::size_t round_robin_index{0};
    std::optional<base::duration_ms> drain_report_lifetime;
    bool list_known{false};
    bool placed_by_cost{false};
    call_cost costs;
    //! Ids of the targets that calls are balanced over.
    std::vector<std::string> subset;
    std::unordered_map<std::string, target> targets;
    //! When processes stated that they are leaving. Kept apart from the
    //! targets, which the list may drop.
    std::map<target_process, base::time_ms> leaving;
    //! When the list first marked a target as leaving or dropped it, by
    //! instance.
    std::unordered_map<std::string, base::time_ms> listed_leaving_times;
};
} // namespace bilberrytally::decisions
