#include "decisions/drain_schedule.hpp"

#include <doctest/doctest.h>

#include <initializer_list>
#include <vector>

using namespace bilberrytally;
using namespace bilberrytally::decisions;

namespace
{
//! Time after the stop request at which a node with this load exits, and how.
struct exit_of_node
{
    std::int64_t at{0};
    drain_step step{drain_step::serve};

    bool operator==(const exit_of_node&) const = default;
};

//! Plays a stop of a node whose last call ends at \p busy_until.
exit_of_node play(const drain_limits& limits, std::int64_t busy_until)
{
    drain_schedule schedule(limits, {0});
    for (std::int64_t now = 0; now < 100000; now += 10)
    {
        const auto step = schedule.on_tick({now >= busy_until}, {now});
        if (step == drain_step::finish || step == drain_step::abort)
        {
            return {now, step};
        }
    }
    return {};
}
} // namespace

TEST_CASE("an idle node serves for the minimum time, then exits")
{
    const auto limits = drain_limits::create({2500}, {600000}, {0});
    CHECK(play(limits, 0) == exit_of_node{2700, drain_step::finish});
}

TEST_CASE("the calls that run are finished if the time to the kill allows it")
{
    for (const std::int64_t kill_after : {6000, 10000, 30000})
    {
        const auto limits =
            drain_limits::create({2500}, {600000}, {kill_after});
        const auto busy_until = kill_after - 1000;
        const auto finished = play(limits, busy_until);
        CHECK(finished.step == drain_step::finish);
        CHECK(finished.at < kill_after);
        const auto aborted = play(limits, kill_after + 1000);
        CHECK(aborted == exit_of_node{kill_after - 500, drain_step::abort});
    }
}

TEST_CASE("a kill soon after the stop request shortens the minimum time")
{
    const auto limits = drain_limits::create({2500}, {600000}, {2000});
    CHECK(limits == drain_limits{{1500}, {1500}, {600000}});
    CHECK(play(limits, 0).at < 2000);
}

// Guards against calls that are taken late in a stop and then cut.
TEST_CASE("a call with the latest deadline is answered before the abort")
{
    const auto limits = drain_limits::create({2500}, {600000}, {6000});
    const drain_schedule schedule(limits, {1000});
    const auto aborted_at = base::time_ms{1000} + limits.limit;
    CHECK(schedule.latest_deadline() < aborted_at);
    CHECK(
        schedule.latest_deadline() > base::time_ms{1000} + limits.min_serving);
}

// Guards against a stop that a second request makes shorter.
TEST_CASE("a stop that is requested again lasts until the later kill")
{
    const auto limits = drain_limits::create({2500}, {600000}, {6000});
    for (const std::int64_t again : {0, 10, 800, 5400})
    {
        drain_schedule schedule(limits, {0});
        const auto latest_deadline = schedule.latest_deadline();
        schedule.on_repeated_request({again});
        CHECK(schedule.on_tick({}, {again + 5499}) != drain_step::abort);
        CHECK(schedule.on_tick({}, {again + 5500}) == drain_step::abort);
        CHECK(schedule.latest_deadline() == latest_deadline);
    }
}

TEST_CASE("a stop that is requested again does not wait for the later kill")
{
    const auto limits = drain_limits::create({2500}, {600000}, {6000});
    drain_schedule schedule(limits, {0});
    schedule.on_repeated_request({800});
    CHECK(schedule.on_tick({true}, {2500}) == drain_step::close_port);
    CHECK(schedule.on_tick({true}, {2700}) == drain_step::finish);
}

// Guards against a node that never ends since it is asked again and again.
TEST_CASE("repeated requests do not move the configured limit")
{
    const auto limits = drain_limits::create({500}, {7000}, {6000});
    drain_schedule schedule(limits, {0});
    for (std::int64_t now = 0; now < 7000; now += 100)
    {
        schedule.on_repeated_request({now});
        CHECK(schedule.on_tick({}, {now}) != drain_step::abort);
    }
    CHECK(schedule.on_tick({}, {7000}) == drain_step::abort);
}

// Guards against nested calls that find no port while their parent runs.
TEST_CASE("the port stays open while the local backend server runs calls")
{
    const auto limits = drain_limits::create({2500}, {600000}, {6000});
    drain_schedule schedule(limits, {0});
    const drain_load backend_busy{false, true};
    CHECK(schedule.on_tick(backend_busy, {2490}) == drain_step::serve);
    CHECK(schedule.on_tick(backend_busy, {2500}) == drain_step::limit_calls);
    CHECK(schedule.on_tick(backend_busy, {3000}) == drain_step::serve);
    CHECK(schedule.on_tick({false, false}, {3010}) == drain_step::close_port);
    CHECK(schedule.on_tick({true, false}, {3200}) == drain_step::serve);
    CHECK(schedule.on_tick({true, false}, {3210}) == drain_step::finish);
    drain_schedule endless(limits, {0});
    CHECK(endless.on_tick(backend_busy, {2500}) == drain_step::limit_calls);
    CHECK(endless.on_tick(backend_busy, {5500}) == drain_step::abort);
}

TEST_CASE("without a kill the configured limit holds")
{
    const auto limits = drain_limits::create({500}, {1000}, {0});
    CHECK(play(limits, 5000) == exit_of_node{1000, drain_step::abort});
}

// Guards against calls that wait at other nodes until the process ends.
TEST_CASE("calls are recalled from other nodes in time for an answer")
{
    drain_schedule schedule(
        drain_limits::create({2500}, {600000}, {6000}), {0});
    std::vector<std::int64_t> recalls;
    for (std::int64_t now = 0; now < 5500; now += 100)
    {
        if (schedule.on_tick({}, {now}) == drain_step::recall)
        {
            recalls.push_back(now);
        }
    }
    CHECK(recalls == std::vector<std::int64_t>{4700});
    // A stop that is requested again gives them more time.
    drain_schedule repeated(
        drain_limits::create({2500}, {600000}, {6000}), {0});
    CHECK(repeated.on_tick({}, {2500}) == drain_step::close_port);
    repeated.on_repeated_request({4000});
    CHECK(repeated.on_tick({}, {5000}) == drain_step::serve);
    CHECK(repeated.on_tick({}, {8700}) == drain_step::recall);
    CHECK(repeated.on_tick({}, {9500}) == drain_step::abort);
}
