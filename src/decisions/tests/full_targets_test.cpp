#include "decisions/admission.hpp"
#include "decisions/target_table.hpp"
#include "decisions/tests/zone_callers.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cstdint>
#include <map>
#include <random>
#include <vector>

using namespace bilberrytally;
using namespace bilberrytally::decisions;

namespace
{
constexpr std::size_t zone_count = 4;
constexpr std::int64_t play_ms = 20000;
constexpr std::int64_t timeout_ms = 700;
constexpr std::uint32_t slots = 15;
constexpr std::uint32_t important = 0;
constexpr std::uint32_t unimportant = 4;

//! Calls of one class in all zones.
struct class_result
{
    double calls{0};
    double served{0};
    double crossed{0};
    double mean_latency_ms{20};
};

//! One target and one caller's node in each zone. Important calls fit, but
//! together with the unimportant ones they exceed the slots of all targets.
class full_targets_simulation
{
public:
    //! \p class_stated tells whether callers state the class of a call when
    //! they choose a target; if not, it counts as shed first.
    explicit full_targets_simulation(bool class_stated)
        : class_stated(class_stated)
    {
        schema::service_policy policy;
        policy.slots = slots;
        policy.exact_slots = true;
        policy.max_wait_ms = timeout_ms;
        for (std::size_t i = 0; i < zone_count; ++i)
        {
            this->targets.emplace_back(slots);
            this->targets.back().apply(policy);
        }
    }

    std::map<std::uint32_t, class_result> play()
    {
        for (std::int64_t now = 0; now < play_ms; ++now)
        {
            this->end_calls(now);
            for (std::size_t zone = 0; zone < zone_count; ++zone)
            {
                this->apply(zone, this->targets[zone].advance({now}), now);
                this->arrive(zone, important, important_per_ms, now);
                this->arrive(zone, unimportant, unimportant_per_ms, now);
            }
        }
        return this->results;
    }

private:
    static constexpr double important_per_ms = 0.25;
    static constexpr double unimportant_per_ms = 0.9;
    static constexpr std::array<double, zone_count> service_ms{30, 15, 15, 10};

    struct call
    {
        std::size_t caller{0};
        std::size_t target{0};
        std::int64_t sent{0};
        std::int64_t started{0};
        std::uint32_t shed_class{0};
    };

    double uniform()
    {
        return std::uniform_real_distribution<double>()(this->random);
    }

    void arrive(
        std::size_t zone, std::uint32_t shed_class, double per_ms,
        std::int64_t now)
    {
        if (this->uniform() >= per_ms)
        {
            return;
        }
        auto& result = this->results[shed_class];
        ++result.calls;
        auto& table = this->tables[zone];
        if (table.all_targets_shed(shed_class, this->random, {now}))
        {
            return;
        }
        const call_profile profile{
            this->results[shed_class].mean_latency_ms,
            {300},
            this->class_stated ? shed_class : priority_classes - 1};
        const auto chosen = table.choose({}, this->random, {now}, profile);
        REQUIRE(chosen);
        const auto target = zone_of(*chosen);
        result.crossed += target == zone ? 0 : 1;
        table.on_dispatch(chosen->instance, {now});
        const auto id = ++this->last_id;
        this->calls.emplace(id, call{zone, target, now, 0, shed_class});
        const admission_request request{
            id, shed_class, 0, this->random(), {now + timeout_ms}};
        this->apply(target, this->targets[target].offer(request, {now}), now);
    }

    void apply(
        std::size_t target, const admission_actions& actions, std::int64_t now)
    {
        for (const auto id : actions.start)
        {
            this->calls.at(id).started = now;
            const double service = service_ms[target] * (0.5 + this->uniform());
            this->ends.emplace(now + static_cast<std::int64_t>(service), id);
        }
        for (const auto& refused : actions.refuse)
        {
            this->answer(refused.id, true, now);
        }
    }

    void end_calls(std::int64_t now)
    {
        while (!this->ends.empty() && this->ends.begin()->first <= now)
        {
            const auto id = this->ends.begin()->second;
            this->ends.erase(this->ends.begin());
            const auto ended = this->calls.at(id);
            const auto actions = this->targets[ended.target].finish(
                id, completion::served, {now - ended.started}, {now});
            ++this->results[ended.shed_class].served;
            this->answer(id, false, now);
            this->apply(ended.target, actions, now);
        }
    }

    void answer(std::uint64_t id, bool refused, std::int64_t now)
    {
        const auto ended = this->calls.at(id);
        this->calls.erase(id);
        const auto latency = static_cast<double>(now - ended.sent);
        auto& mean_latency_ms = this->results[ended.shed_class].mean_latency_ms;
        if (!refused)
        {
            constexpr double weight = 0.02;
            mean_latency_ms += weight * (latency - mean_latency_ms);
        }
        dispatch_result result;
        result.answered = true;
        result.refused = refused;
        result.latency = {
            static_cast<std::int64_t>(100 * latency / mean_latency_ms)};
        result.load = this->targets[ended.target].report({now});
        this->tables[ended.caller].on_result(
            zone_name(ended.target), result, {now});
    }

    bool class_stated;
    std::vector<admission> targets;
    std::vector<target_table> tables{make_zone_callers(zone_count)};
    std::mt19937_64 random{7};
    std::uint64_t last_id{0};
    std::map<std::uint64_t, call> calls;
    //! Ids of running calls by the time at which they end.
    std::multimap<std::int64_t, std::uint64_t> ends;
    std::map<std::uint32_t, class_result> results;
};
} // namespace

TEST_CASE("a target that sheds unimportant calls has room for important ones")
{
    auto result = full_targets_simulation(true).play();
    auto before = full_targets_simulation(false).play();
    const auto& first = result[important];
    CHECK(first.served >= 0.99 * first.calls);
    CHECK(first.crossed < 0.05 * first.calls);
    CHECK(before[important].crossed > 5 * first.crossed);
    // The other calls are served at least as well as before.
    const auto share = [](const class_result& of)
    { return of.served / of.calls; };
    CHECK(share(result[unimportant]) >= share(before[unimportant]) - 0.01);
}
