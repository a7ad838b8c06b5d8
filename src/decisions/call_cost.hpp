#pragma once

#include "base/time.hpp"

#include <boost/histogram.hpp>

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bilberrytally::decisions
{
//! Kind of calls that are expected to cost alike: calls of one \p group, such
//! as a route, whose requests have sizes of one order of magnitude. Never 0.
std::uint64_t call_kind(std::string_view group, std::uint64_t request_bytes);

//! How slow a backend server is: its service times divided by those of a server
//! of average speed, as a moving average. It is an average of logarithms, so
//! that single expensive calls do not make a server look slow.
class server_slowness
{
public:
    //! Factor by which service times exceed those of an average server.
    double factor() const;

    //! Records that a call took \p ratio (not a logarithm) times as long as
    //! typical calls of its kind take on an average server.
    void on_ratio(double ratio);

private:
    double log_factor{0};
    double current_factor{1};
};

//! Work of calls, learned by kind from service times at their targets: the time
//! that an average server needs, in ms. The speed of the targets is learned
//! apart from it, so that a slow target does not make its calls look expensive.
//! Holds a bounded number of kinds; calls of others count as average.
class call_cost
{
public:
    call_cost();

    //! Expected work of a call, in ms; 0 while no call has been served.
    double expected_ms(std::uint64_t kind) const;

    //! Expected remaining work of a call on which an average server would have
    //! worked for \p done_ms by now. For a call that has taken longer than any
    //! other of its kind, the work already done: what has lasted long is likely
    //! to last.
    double expected_rest_ms(std::uint64_t kind, double done_ms) const;

    //! Learns from a call served by a target of slowness \p slowness, and
    //! updates that.
    void on_served(
        std::uint64_t kind, base::duration_ms service_time,
        server_slowness& slowness);

private:
    using axis = boost::histogram::axis::regular<
        double, boost::histogram::axis::transform::log>;
    using histogram = boost::histogram::histogram<
        std::tuple<axis>, boost::histogram::dense_storage<float>>;

    //! Distribution of the work of the calls of one kind. Older calls lose
    //! weight.
    struct work_distribution
    {
        work_distribution();
        void add(double work_ms);
        double mean() const;
        //! Typical work in ms, which single expensive calls change little.
        double typical() const;

        histogram buckets;
        std::uint32_t samples{0};
        double weight{0};
        double sum{0};
        //! Logarithm of typical work: a moving average that outliers move as
        //! little as they move server_slowness, or the two would drift apart.
        double log_typical{0};
        std::uint64_t last_used{0};
    };

    //! Distribution of this kind, or of all calls if too few are known.
    const work_distribution& distribution(std::uint64_t kind) const;
    work_distribution& distribution_to_update(std::uint64_t kind);

    std::unordered_map<std::uint64_t, work_distribution> kinds;
    work_distribution all;
    std::uint64_t served{0};
};

//! A call at a target, as its outstanding work counts it.
struct call_work
{
    std::uint64_t kind{0};
    //! Expected work while the call waits, in ms; 0 if it is not counted.
    double expected_ms{0};
};

//! The work that one backend server has still to do: its running and waiting
//! calls, seen from its own node.
class outstanding_work
{
public:
    //! Counts a call that waits for a slot.
    call_work on_wait(std::uint64_t kind);
    //! Stops counting a waiting call that was refused or cancelled.
    void on_wait_end(call_work& call);
    //! Counts a waiting call as running from \p now on.
    void on_start(std::uint64_t id, call_work& call, base::time_ms now);
    //! Stops counting a running call.
    void on_end(std::uint64_t id);
    //! Learns from a served call.
    void on_served(std::uint64_t kind, base::duration_ms service_time);

    //! Expected time until the backend server has done all its work, in its own
    //! time, in ms: the work divided by the slots.
    double left_ms(std::uint32_t slots, base::time_ms now) const;

private:
    struct running_call
    {
        std::uint64_t id;
        std::uint64_t kind;
        base::time_ms started;
    };

    call_cost costs;
    server_slowness slowness;
    double waiting_ms{0};
    //! In no order. Not a map, since starting a call must not allocate.
    std::vector<running_call> running;
};
} // namespace bilberrytally::decisions
