#pragma once

#include "base/time.hpp"
#include "decisions/concurrency_limit.hpp"
#include "decisions/latency_histogram.hpp"
#include "decisions/policy_variant.hpp"
#include "decisions/rate_limit.hpp"
#include "schema/documents.hpp"
#include "schema/messages.hpp"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index_container.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace bilberrytally::decisions
{
//! Number of priority classes; 0 is the most important.
constexpr std::uint32_t priority_classes = 10;

//! Class by which a call is shed when calls of different chains compete; class
//! 0 is shed last. Chains are ordered by the priority of their root request.
//! Within one priority, root calls (\p depth 0) are shed before nested calls,
//! since no work has been spent on them yet; root priorities of 5 and more all
//! share the last class. Meant for overload of targets that are deep in the
//! call graph and shared by all chains. Used in fleets whose routes a store
//! publishes; elsewhere a call is shed by its priority alone.
std::uint32_t shed_class(std::uint32_t root_priority, std::uint32_t depth);

//! The properties of a call that admission decides by.
struct admission_request
{
    std::uint64_t id{0};
    //! Priority class or shed class, 0 (most important) to
    //! priority_classes - 1.
    std::uint32_t priority{0};
    //! Number of calls above this one in the chain; 0 for a root call.
    std::uint32_t depth{0};
    //! Hash of the root request id; equal at every hop of the chain.
    std::uint64_t root_hash{0};
    base::time_ms deadline;
    bool long_work{false};
    //! Key of the route under which its service times are learned.
    std::uint64_t route{0};

    bool operator==(const admission_request&) const = default;
};

//! A call that admission refuses. It has not run.
struct admission_refusal
{
    std::uint64_t id{0};
    schema::refusal reason{schema::refusal::none};
    std::uint32_t priority{0};
    //! Least important priority class among the calls that still wait; 0 if
    //! no call waits.
    std::uint32_t worst_waiting{0};

    bool operator==(const admission_refusal&) const = default;
};

//! Calls to dispatch to the backend server now and calls to refuse now.
struct admission_actions
{
    std::vector<std::uint64_t> start;
    std::vector<admission_refusal> refuse;

    bool operator==(const admission_actions&) const = default;
};

//! Admission control of one backend server: decides which calls run, in which
//! order, and which are refused. Calls queue for a bounded time. The queue is
//! ordered by priority class, then deeper calls first, then by arrival; under
//! overload by a hash of the root request and newest first instead of by
//! arrival. Long work queues in a lane of its own and runs on a capped share of
//! the concurrency limit.
class admission
{
public:
    //! \p slots is the initial concurrency limit, until apply() sets one.
    explicit admission(
        std::uint32_t slots, policy_variant variant = full_policy{});

    //! Applies the limits of a ticket.
    void apply(const schema::service_policy& policy);

    //! Handles the arrival of a call.
    admission_actions
    offer(const admission_request& request, base::time_ms now);

    //! Handles the end of a dispatched call after \p service_time. Does nothing
    //! for an unknown \p id.
    admission_actions finish(
        std::uint64_t id, completion kind, base::duration_ms service_time,
        base::time_ms now);

    //! Removes a waiting call whose caller has gone. Returns false if no call
    //! with this \p id waits.
    bool cancel_waiting(std::uint64_t id);

    //! Records the rate limit that a response of the backend server stated, in
    //! calls a second; nothing if it stated none. Returns whether the limit has
    //! changed.
    bool on_stated_rate(std::optional<double> per_s, base::time_ms now);

    //! Starts waiting calls that the rate limit allows by now, and refuses
    //! those that have waited too long or can no longer finish before their
    //! deadline. To be called regularly.
    admission_actions advance(base::time_ms now);

    //! Refuses all waiting calls.
    admission_actions refuse_all(schema::refusal reason);

    //! Load of the backend server, as sent along with answers.
    schema::load_report report(base::time_ms now) const;

    //! Number of calls that run at the backend server.
    std::uint32_t in_flight() const;
    //! Number of calls that wait in both lanes.
    std::size_t waiting() const;

private:
    //! Priority class, negative depth, root group (0 unless overloaded), and
    //! arrival number (negative if overloaded); the least one runs first.
    using order_key =
        std::tuple<std::uint32_t, std::int64_t, std::uint64_t, std::int64_t>;

    struct waiting_call
    {
        std::uint64_t id;
        order_key order;
        base::time_ms expires;
        base::time_ms arrived;
        admission_request request;
    };

    struct by_order;
    struct by_expiry;
    using queue = boost::multi_index_container<
        waiting_call,
        boost::multi_index::indexed_by<
            boost::multi_index::hashed_unique<boost::multi_index::member<
                waiting_call, std::uint64_t, &waiting_call::id>>,
            boost::multi_index::ordered_non_unique<
                boost::multi_index::tag<by_order>,
                boost::multi_index::member<
                    waiting_call, order_key, &waiting_call::order>>,
            boost::multi_index::ordered_non_unique<
                boost::multi_index::tag<by_expiry>,
                boost::multi_index::member<
                    waiting_call, base::time_ms, &waiting_call::expires>>>>;

    struct running_call
    {
        bool long_work;
        std::uint64_t route;
    };

    void refuse_expired(base::time_ms now, admission_actions& actions);
    bool refuse_on_arrival(
        const admission_request& request, base::time_ms now,
        admission_actions& actions);
    //! True if a more important class was refused within
    //! arrival_refusal_hold (100 ms), so that a call of this class must not
    //! overtake it.
    bool is_less_important_than_refused(
        std::uint32_t priority, base::time_ms now) const;
    bool is_overloaded(base::time_ms now) const;
    bool is_long(const admission_request& request) const;
    bool lane_has_room(bool long_work, base::time_ms now) const;
    std::uint32_t max_long_running() const;
    order_key queue_order(const admission_request& request, base::time_ms now);
    base::duration_ms
    expected_wait(const admission_request& request, base::time_ms now) const;
    base::duration_ms expected_service(std::uint64_t route) const;
    void start(const admission_request& request, base::time_ms now);
    void enqueue(const admission_request& request, base::time_ms now);
    void erase_waiting(queue& lane, std::uint64_t id);
    //! Lane whose first call runs next; null if no call may start.
    queue* next_lane(base::time_ms now);
    void start_waiting_calls(base::time_ms now, admission_actions& actions);
    //! Lane that holds the call that is last in the queue order.
    queue& least_important_lane();
    void enforce_queue_bound(base::time_ms now, admission_actions& actions);
    void shed_less_important(
        std::uint32_t priority, base::time_ms now, admission_actions& actions);
    void record_refusal(std::uint32_t priority, base::time_ms now);
    latency_histogram& service_times_of(std::uint64_t route);

    //! Fills in worst_waiting of all refusals, once the queue is final.
    admission_actions with_worst_waiting(admission_actions actions) const;
    std::uint32_t current_limit() const;
    //! The limit that callers are told: the concurrency limit, or fewer calls
    //! under a rate limit.
    std::uint32_t reported_limit() const;

    policy_variant variant;
    concurrency_limit limit;
    rate_limit stated_rate;
    base::duration_ms max_wait;
    std::uint32_t long_share_percent{50};
    std::array<queue, 2> lanes;
    std::array<std::size_t, priority_classes> waiting_per_class{};
    std::unordered_map<std::uint64_t, running_call> running;
    std::uint32_t long_running{0};
    std::unordered_map<std::uint64_t, latency_histogram> service_times;
    latency_histogram all_service_times;
    std::int64_t sequence{0};
    base::time_ms overloaded_until{INT64_MIN / 2};
    std::array<base::time_ms, priority_classes> refused_at;
    double recent_wait_ms{0};
};
} // namespace bilberrytally::decisions
