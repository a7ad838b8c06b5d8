#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "configuration/configuration_client.hpp"
#include "node/internal/event_loop_monitor.hpp"
#include "node/internal/http_mapping.hpp"
#include "node/internal/issued_key.hpp"
#include "node/internal/suspension_detector.hpp"
#include "timeline/timeline.hpp"

#include <doctest/doctest.h>

using namespace bilberrytally;
using namespace bilberrytally::node;

TEST_CASE("issued keys cannot be forged or altered")
{
    const issued_key key{"10.0.0.1", 7000, 0xabcdef, 42};
    const auto text = key.format("secret of the fleet");
    CHECK(issued_key::parse(text, "secret of the fleet") == key);
    CHECK_FALSE(issued_key::parse(text, "another secret"));
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        auto changed = text;
        changed[i] = changed[i] == '1' ? '2' : '1';
        CHECK_FALSE(issued_key::parse(changed, "secret of the fleet"));
    }
    CHECK_FALSE(issued_key::parse("bt1_", "secret of the fleet"));
}

TEST_CASE(
    "the longest matching prefix applies, unknown routes are not repeatable")
{
    schema::service_policy policy;
    policy.routes = {
        {"*", "/", 5, true, false, true},
        {"POST", "/ack", 0, false, false, true}};
    http::request request;
    request.method = "POST";
    request.target = "/ack/7";
    CHECK(find_route(policy, request).priority == 0);
    request.method = "GET";
    CHECK(find_route(policy, request).repeatable);
    policy.routes.clear();
    CHECK_FALSE(find_route(policy, request).repeatable);
}

TEST_CASE("the call id is put first in tracestate and other members are kept")
{
    const auto state = trace_state_for(255, "a=1,bilberrytally=00,b=2");
    CHECK(state == "bilberrytally=00000000000000ff,a=1,b=2");
    CHECK(call_id_from_trace({{"tracestate", state}}) == 255);
    const auto parent = trace_parent_for(1, 255);
    CHECK(parent.size() == 55);
    CHECK(parent.ends_with("-00000000000000ff-01"));
    CHECK_FALSE(call_id_from_trace({{"tracestate", "a=1"}}));
    CHECK_FALSE(call_id_from_trace({{"tracestate", "bilberrytally=zz"}}));
}

TEST_CASE("the wait of a request during a process suspension uses up its time")
{
    suspension_detector detector({0});
    CHECK(detector.on_tick({10}).count == 0);
    CHECK(detector.buffered_time({20}).count == 0);
    CHECK(detector.buffered_time({5010}).count == 5000);
    CHECK(detector.on_tick({5010}).count == 5000);
    CHECK(detector.buffered_time({5020}).count == 5000);
    CHECK(detector.on_tick({5030}).count == 0);
    CHECK(detector.buffered_time({5050}).count == 0);
}

TEST_CASE("the event loop's delay and processor time are reported each second")
{
    event_loop_monitor monitor({10}, {0});
    CHECK_FALSE(monitor.on_tick({10}, {5}));
    monitor.on_frame({30});
    monitor.on_frame({10});
    CHECK_FALSE(monitor.on_tick({520}, {300}));
    const auto report = monitor.on_tick({1030}, {412});
    REQUIRE(report);
    CHECK(report->mean_delay_ms == doctest::Approx((0 + 500 + 500) / 3.0));
    CHECK(report->longest_delay.count == 500);
    CHECK(report->frames == 2);
    CHECK(report->mean_frame_delay_ms == doctest::Approx(20));
    CHECK(report->processor_percent == doctest::Approx(40));
    CHECK_FALSE(monitor.on_tick({1040}, {412}));
    const auto calm = monitor.on_tick({2040}, {412});
    REQUIRE(calm);
    CHECK(calm->longest_delay.count == 990);
    CHECK(calm->frames == 0);
    CHECK(calm->processor_percent == doctest::Approx(0));
}

TEST_CASE("late frames raise the frame delay, which falls where none follow")
{
    event_loop_monitor monitor({10}, {0});
    for (int i = 0; i < 500; ++i)
    {
        monitor.on_frame({50});
    }
    CHECK(monitor.frame_delay_ms() == doctest::Approx(50).epsilon(0.01));
    for (std::int64_t now = 10; now <= 1000; now += 10)
    {
        monitor.on_tick({now}, {0});
    }
    CHECK(monitor.frame_delay_ms() < 5);
}

TEST_CASE("late frames of a suspension are forgotten within two seconds")
{
    event_loop_monitor monitor({10}, {0});
    for (int i = 0; i < 300; ++i)
    {
        monitor.on_frame({5000});
    }
    for (std::int64_t now = 10; now <= 2000; now += 10)
    {
        monitor.on_frame({0});
        monitor.on_tick({now}, {0});
    }
    CHECK(monitor.frame_delay_ms() < 1);
}

TEST_CASE("errors in the configuration service's responses name the field")
{
    const auto text_of = [](const std::string& body)
    {
        return base::handle(
            [&]() -> base::result<std::string>
            {
                BOOST_LEAF_AUTO(changes, configuration::parse_changes(body));
                return std::to_string(changes.documents.size());
            },
            [](const base::error& failure) { return failure.text(); });
    };
    CHECK(text_of(R"({"index":1,"documents":["a",7]})") == "2");
    CHECK(text_of("{") == "changes: expected a JSON object");
    CHECK(
        text_of(R"({"index":"x","documents":[]})") ==
        "changes.index: expected a whole number");
    CHECK(
        text_of(R"({"index":1,"documents":7})") ==
        "changes.documents: expected a list");
}

TEST_CASE("the timeline keeps the latest events in causal order")
{
    timeline::timeline events(3);
    for (int i = 0; i < 5; ++i)
    {
        events.record({0, "k" + std::to_string(i), 0, 0, "", ""});
    }
    const auto rows = events.read(0, 10);
    REQUIRE(rows.size() == 3);
    CHECK(rows[0].kind == "k2");
    CHECK(events.read(rows[1].time, 10).size() == 1);
    const auto future = events.tick() + (1ULL << 40U);
    events.observe(future);
    CHECK(events.tick() > future);
}
