#include "decisions/admission.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <utility>
#include <vector>

using namespace bilberrytally;
using decisions::admission;
using decisions::admission_request;
using decisions::completion;
using decisions::priority_classes;
using decisions::shed_class;

namespace
{
admission_request
make_request(std::uint64_t id, std::uint32_t priority, std::int64_t deadline)
{
    admission_request request;
    request.id = id;
    request.priority = priority;
    request.root_hash = id * 0x9e3779b97f4a7c15;
    request.deadline = {deadline};
    return request;
}
} // namespace

TEST_CASE(
    "the shed class follows the root's priority, root calls are shed first")
{
    CHECK(shed_class(0, 1) < shed_class(0, 0));
    CHECK(shed_class(0, 0) < shed_class(2, 3));
    CHECK(shed_class(2, 1) < shed_class(2, 0));
    CHECK(shed_class(2, 1) == shed_class(2, 4));
    CHECK(shed_class(4000000000U, 0) == priority_classes - 1);
}

TEST_CASE("under overload, the important chain keeps all of its calls")
{
    // Two chains call a target that can serve a third of their calls. The shed
    // classes must keep every call of the more important chain.
    admission target(10);
    schema::service_policy policy;
    policy.slots = 10;
    policy.max_wait_ms = 500;
    target.apply(policy);
    std::map<std::uint64_t, std::uint32_t> classes;
    std::map<std::uint32_t, int> refused;
    std::map<std::uint32_t, int> started;
    std::vector<std::uint64_t> running;
    const auto apply_actions = [&](const decisions::admission_actions& actions)
    {
        for (const auto id : actions.start)
        {
            ++started[classes[id]];
            running.push_back(id);
        }
        for (const auto& item : actions.refuse)
        {
            ++refused[classes[item.id]];
        }
    };
    std::uint64_t id = 0;
    for (std::int64_t now = 0; now < 5000; now += 5)
    {
        if (now % 50 == 0)
        {
            for (const auto ended : std::exchange(running, {}))
            {
                apply_actions(
                    target.finish(ended, completion::served, {50}, {now}));
            }
        }
        // About 20 important calls a second among 600; 200 can be served.
        const auto less_important = shed_class(2, 1);
        const auto important = shed_class(0, 1);
        for (int i = 0; i < 3; ++i)
        {
            ++id;
            classes[id] = now % 50 == 0 && i == 0 ? important : less_important;
            admission_request request;
            request.id = id;
            request.priority = classes[id];
            request.depth = 1;
            request.deadline = {now + 700};
            request.route = 1;
            apply_actions(target.offer(request, {now}));
        }
    }
    CHECK(refused[shed_class(0, 1)] == 0);
    CHECK(started[shed_class(0, 1)] >= 95);
    CHECK(started[shed_class(2, 1)] > 500);
}

TEST_CASE("calls start up to the limit, then the most important call is next")
{
    admission target(1);
    CHECK(target.offer(make_request(1, 5, 1000), {0}).start.size() == 1);
    CHECK(target.offer(make_request(2, 5, 1000), {0}).start.empty());
    CHECK(target.offer(make_request(3, 0, 1000), {1}).start.empty());
    const auto next = target.finish(1, completion::served, {10}, {10});
    CHECK(next.start == std::vector<std::uint64_t>{3});
}

TEST_CASE("a deeper call starts before a shallower one of the same class")
{
    admission target(1);
    target.offer(make_request(1, 5, 1000), {0});
    target.offer(make_request(2, 5, 1000), {0});
    auto deep = make_request(3, 5, 1000);
    deep.depth = 2;
    target.offer(deep, {1});
    CHECK(
        target.finish(1, completion::served, {10}, {10}).start ==
        std::vector<std::uint64_t>{3});
}

TEST_CASE("a call that waits too long is refused without being started")
{
    admission target(1);
    target.offer(make_request(1, 5, 5000), {0});
    target.offer(make_request(2, 5, 5000), {0});
    CHECK(target.advance({499}).refuse.empty());
    const auto late = target.advance({500});
    REQUIRE(late.refuse.size() == 1);
    CHECK(late.refuse[0].reason == schema::refusal::overload);
    CHECK(target.waiting() == 0);
}

TEST_CASE("long work never takes the last slots and does not starve")
{
    admission target(4);
    for (std::uint64_t i = 1; i <= 4; ++i)
    {
        auto call = make_request(i, 5, 100000);
        call.long_work = true;
        target.offer(call, {0});
    }
    CHECK(target.in_flight() == 2);
    CHECK(target.offer(make_request(10, 5, 100000), {0}).start.size() == 1);
    CHECK(target.offer(make_request(11, 5, 100000), {0}).start.size() == 1);
    target.offer(make_request(12, 5, 100000), {1});
    target.finish(1, completion::served, {100}, {100});
    target.finish(2, completion::served, {100}, {100});
    // Both kinds wait; one long call runs again beside the short ones.
    CHECK(target.in_flight() == 4);
}

TEST_CASE("the limit decreases on shed answers and recovers as calls complete")
{
    admission target(100);
    std::int64_t now = 0;
    std::uint64_t id = 1;
    for (int i = 0; i < 50; ++i, now += 101)
    {
        target.offer(make_request(++id, 5, now + 1000), {now});
        target.finish(id, completion::shed, {1}, {now});
    }
    CHECK(target.report({now}).limit < 20);
    for (int i = 0; i < 4000; ++i)
    {
        target.offer(make_request(++id, 5, now + 1000), {now});
        target.finish(id, completion::served, {1}, {now});
    }
    CHECK(target.report({now}).limit == 100);
}

TEST_CASE("calls that a mostly idle backend server sheds keep the limit")
{
    const auto limit_after_shedding = [](std::uint32_t in_flight)
    {
        decisions::concurrency_limit limit(100);
        limit.set_exact(true);
        for (std::int64_t now = 0; now < 10000; now += 101)
        {
            limit.on_completion(
                decisions::completion::shed, 1, in_flight, {now});
        }
        return limit.value();
    };
    CHECK(limit_after_shedding(10) == 100);
    CHECK(limit_after_shedding(95) == 70);
}

TEST_CASE("no call is refused for load while a less important one waits")
{
    const bool held = rc::check(
        "random load, all refusals in order of priority",
        []
        {
            admission target(4);
            std::map<std::uint64_t, std::uint32_t> waiting;
            std::map<std::uint64_t, std::int64_t> running;
            std::int64_t now = 0;
            const auto apply = [&](const decisions::admission_actions& actions)
            {
                for (const auto& refused : actions.refuse)
                {
                    const auto priority = refused.priority;
                    waiting.erase(refused.id);
                    if (refused.reason == schema::refusal::overload)
                    {
                        RC_ASSERT(refused.worst_waiting <= priority);
                    }
                }
                for (const auto id : actions.start)
                {
                    RC_ASSERT(running.emplace(id, now + 20).second);
                    waiting.erase(id);
                }
                RC_ASSERT(target.waiting() == waiting.size());
            };
            for (std::uint64_t id = 1; id < 300; ++id)
            {
                now += *rc::gen::inRange(0, 6);
                while (!running.empty() && running.begin()->second <= now)
                {
                    const auto done = running.begin()->first;
                    running.erase(running.begin());
                    apply(target.finish(done, completion::served, {20}, {now}));
                }
                const auto priority = *rc::gen::inRange<std::uint32_t>(0, 10);
                waiting.emplace(id, priority);
                apply(target.offer(
                    make_request(
                        id, priority, now + *rc::gen::inRange(10, 300)),
                    {now}));
            }
        });
    CHECK(held);
}
