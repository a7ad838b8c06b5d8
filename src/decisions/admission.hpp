#pragma once

#include "base/time.hpp"
#include "decisions/concurrency_limit.hpp"
#include "decisions/latency_histogram.hpp"
#include "decisions/policy_variant.hpp"
#include "schema/documents.hpp"
#include "schema/messages.hpp"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index_container.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace bilberrytally::decisions
{
//! Number of priority classes; 0 is the most important.
constexpr std::uint32_t priority_classes = 10;

//! Order in which calls are shed where chains of calls are told apart, 0
//! last: by the priority of the chain's root, and within it first the roots,
//! on which no work is spent yet. For load that outgrows the targets deep in
//! the graph, which all chains share.
std::uint32_t shed_class(std::uint32_t root_priority, std::uint32_t depth);

//! What admission needs to know of a call.
struct admission_request
{
    std::uint64_t id{0};
    std::uint32_t priority{0};
    //! Calls above this one in the chain.
    std::uint32_t depth{0};
    //! Hash of the root request id, the same at every hop.
    std::uint64_t root_hash{0};
    base::time_ms deadline;
    bool long_work{false};
    //! Identifies the route for the learned service time.
    std::uint64_t route{0};

    bool operator==(const admission_request&) const = default;
};

//! A call that admission turns away; it has not run.
struct admission_refusal
{
    std::uint64_t id{0};
    schema::refusal reason{schema::refusal::none};
    std::uint32_t priority{0};
    //! Least important class that still waits; 0 where none does.
    std::uint32_t worst_waiting{0};

    bool operator==(const admission_refusal&) const = default;
};

//! What is to be done now: calls to dispatch and calls to refuse.
struct admission_actions
{
    std::vector<std::uint64_t> start;
    std::vector<admission_refusal> refuse;

    bool operator==(const admission_actions&) const = default;
};

//! Decides which calls run at one backend server, in which order, and which
//! are refused. Waiting is bounded by time. Order: priority class, then the
//! deeper call, then, under overload, a hash of the root request and the
//! newest first. Long work runs in a lane with a capped share of the limit.
class admission
{
public:
    explicit admission(
        std::uint32_t slots, policy_variant variant = full_policy{});

    //! Takes limits from a ticket.
    void apply(const schema::service_policy& policy);

    //! A call arrives.
    admission_actions
    offer(const admission_request& request, base::time_ms now);

    //! A dispatched call ended after \p service_time.
    admission_actions finish(
        std::uint64_t id, completion kind, base::duration_ms service_time,
        base::time_ms now);

    //! The caller of a waiting call has gone. False if it does not wait.
    bool cancel_waiting(std::uint64_t id);

    //! Refuses waiting calls whose time is over.
    admission_actions expire(base::time_ms now);

    //! Refuses all waiting calls.
    admission_actions refuse_all(schema::refusal reason);

    schema::load_report report(base::time_ms now) const;

    std::uint32_t in_flight() const;
    std::size_t waiting() const;

private:
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

    void expire_into(base::time_ms now, admission_actions& actions);
    bool refuse_doomed(
        const admission_request& request, base::time_ms now,
        admission_actions& actions);
    //! A more important class was refused a moment ago.
    bool is_below_floor(std::uint32_t priority, base::time_ms now) const;
    bool is_overloaded(base::time_ms now) const;
    bool is_long(const admission_request& request) const;
    bool lane_has_room(bool long_work) const;
    std::uint32_t long_cap() const;
    order_key order_of(const admission_request& request, base::time_ms now);
    base::duration_ms
    expected_wait(const admission_request& request, base::time_ms now) const;
    base::duration_ms expected_service(std::uint64_t route) const;
    void start(const admission_request& request);
    void enqueue(const admission_request& request, base::time_ms now);
    void erase_waiting(queue& lane, std::uint64_t id);
    //! Lane whose head runs next; null where nothing may start.
    queue* next_lane();
    void start_waiting(base::time_ms now, admission_actions& actions);
    //! Lane that holds the last waiting call in order.
    queue& least_important_lane();
    void trim(base::time_ms now, admission_actions& actions);
    void shed_lesser(
        std::uint32_t priority, base::time_ms now, admission_actions& actions);
    void note_refusal(std::uint32_t priority, base::time_ms now);
    latency_histogram& route_times(std::uint64_t route);

    //! Completes the refusals once all is decided.
    admission_actions with_queue_state(admission_actions actions) const;
    std::uint32_t current_limit() const;

    policy_variant variant;
    concurrency_limit limit;
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
