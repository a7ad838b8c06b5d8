#pragma once

#include "decisions/admission.hpp"
#include "decisions/call_cost.hpp"
#include "decisions/target_table.hpp"
#include "decisions/tests/zone_callers.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace bilberrytally::decisions
{
//! What an alternative rule of choice may know at one entry node.
struct entry_state
{
    //! Expected work of this entry node's calls at each target, in ms.
    std::array<double, 6> own_work_ms{};
    //! Targets that told this entry node that they have a free slot.
    std::deque<std::size_t> idle;
};

struct cost_case
{
    //! Mean load as a share of the room of all targets.
    double load{0};
    bool by_cost{false};
    //! Chooses a target for a call of a route; the target table if empty.
    std::function<std::size_t(entry_state&, std::size_t, std::mt19937_64&)>
        alternative{};
    //! Changes the report of a target.
    std::function<void(std::size_t, schema::load_report&, std::mt19937_64&)>
        distort{};
    //! Target "b" stops working and answering after half of the time.
    bool disappearing{false};
    //! All nodes are in one zone, to compare with rules that know none.
    bool one_zone{false};
    std::uint64_t seed{1};
};

struct cost_result
{
    double calls{0}, in_time{0}, crossed{0};
    //! Latencies in ms; the deadline for a call that was not served.
    std::vector<std::int64_t> latencies;
};

//! Plays calls of two routes from six entry nodes to six targets in three zones
//! in steps of 1 ms. The targets slow down for 600 ms about every 6 s.
class cost_simulation
{
public:
    explicit cost_simulation(const cost_case& scenario)
        : scenario(scenario), random(scenario.seed),
          choice_random(scenario.seed)
    {
        schema::service_policy policy;
        policy.slots = 20;
        policy.exact_slots = true;
        policy.max_wait_ms = 500;
        schema::instance_list list{1, "s", {}};
        for (std::size_t i = 0; i < size; ++i)
        {
            const auto zone = zone_name(scenario.one_zone ? 0 : i / 2);
            this->targets[i].queue.apply(policy);
            list.instances.push_back({zone_name(i), zone});
            this->tables.emplace_back("entry" + zone_name(i), zone);
            this->tables[i].set_placement_by_cost(scenario.by_cost);
            this->mean_ms[i] = {200, 40};
        }
        for (auto& table : this->tables)
        {
            table.apply(list, {0});
        }
    }

    cost_result play()
    {
        constexpr double room = slots * (0.5 + 1.4 + 0.8 + 1.7 + 1 + 1.2);
        constexpr double mean_work_ms = (170 * 1.18 + 40) / 2;
        std::poisson_distribution<int> arrivals(
            this->scenario.load * room / mean_work_ms);
        for (; this->now.count < play_ms; ++this->now.count)
        {
            for (std::size_t i = 0; i < size; ++i)
            {
                this->serve(i);
            }
            for (int i = arrivals(this->random); i > 0; --i)
            {
                this->arrive();
            }
        }
        return this->result;
    }

private:
    struct route
    {
        std::uint64_t kind;
        double work_ms;
        double expensive_share;
        base::duration_ms objective;
    };
    struct call
    {
        std::size_t entry, target, route;
        double work_left;
        call_work counted;
        base::time_ms sent, started;
    };
    struct simulated_target
    {
        admission queue{20};
        outstanding_work work;
        std::set<std::uint64_t> running;
        base::time_ms slow_until;
        std::array<base::time_ms, 6> reported;
    };

    static constexpr std::size_t size = 6;
    static constexpr std::int64_t play_ms = 20000;
    static constexpr base::duration_ms deadline{2000};
    static constexpr std::size_t slots = 19;
    static constexpr std::array<double, size> speeds{0.5, 1.4, 0.8,
                                                     1.7, 1,   1.2};
    static constexpr std::array<route, 2> routes{
        {{1, 170, 0.03, {1000}}, {2, 40, 0, {250}}}};

    double uniform()
    {
        return std::uniform_real_distribution<double>()(this->random);
    }
    bool has_gone(std::size_t target) const
    {
        return this->scenario.disappearing && target == 1 &&
               this->now.count >= play_ms / 2;
    }

    std::size_t choose(std::size_t entry, std::size_t route)
    {
        if (this->scenario.alternative)
        {
            return this->scenario.alternative(
                this->entries[entry], route, this->choice_random);
        }
        return zone_of(*this->tables[entry].choose(
            {}, this->choice_random, this->now,
            {this->mean_ms[entry][route], routes[route].objective, 0,
             routes[route].kind}));
    }

    void arrive()
    {
        const std::size_t entry = this->random() % size;
        const std::size_t route = this->random() % routes.size();
        const auto& of = routes[route];
        const bool expensive = this->uniform() < of.expensive_share;
        const double work =
            of.work_ms * (0.5 + this->uniform()) * (expensive ? 7 : 1);
        const auto target = this->choose(entry, route);
        this->tables[entry].on_dispatch(
            zone_name(target), this->now, routes[route].kind);
        this->entries[entry].own_work_ms[target] += of.work_ms;
        ++this->result.calls;
        this->result.crossed += entry / 2 == target / 2 ? 0 : 1;
        const auto id = ++this->last_id;
        auto& at = this->targets[target];
        const auto counted = at.work.on_wait(routes[route].kind);
        this->calls[id] = {entry, target, route, work, counted, this->now, {}};
        const admission_request request{
            id,
            4,
            0,
            this->choice_random(),
            this->now + deadline,
            false,
            routes[route].kind};
        this->apply(at, at.queue.offer(request, this->now));
    }

    void apply(simulated_target& at, const admission_actions& actions)
    {
        for (const auto id : actions.start)
        {
            this->calls.at(id).started = this->now;
            at.running.insert(id);
            at.work.on_start(id, this->calls.at(id).counted, this->now);
        }
        for (const auto& refused : actions.refuse)
        {
            at.work.on_wait_end(this->calls.at(refused.id).counted);
            this->answer(refused.id, false);
        }
    }

    void serve(std::size_t target)
    {
        auto& at = this->targets[target];
        if (this->uniform() < 1.0 / 6000)
        {
            at.slow_until = this->now + base::duration_ms{600};
        }
        double step = speeds[target] / (this->now < at.slow_until ? 2.5 : 1);
        step = this->has_gone(target) ? 0 : step;
        const auto running = at.running;
        for (const auto id : running)
        {
            auto& call = this->calls.at(id);
            call.work_left -= step;
            const bool timed_out = this->now - call.sent >= deadline;
            if (call.work_left > 0 && !timed_out)
            {
                continue;
            }
            const auto service = this->now - call.started;
            at.running.erase(id);
            at.work.on_end(id);
            at.work.on_served(routes[call.route].kind, service);
            const auto actions =
                at.queue.finish(id, completion::served, service, this->now);
            this->answer(id, !timed_out);
            this->apply(at, actions);
            auto& told = this->entries[this->choice_random() % size].idle;
            told.resize(
                told.size() + (at.running.size() < slots ? 1 : 0), target);
        }
        this->apply(at, at.queue.advance(this->now));
    }

    schema::load_report report(const call& ended)
    {
        auto& at = this->targets[ended.target];
        auto& reported = at.reported[ended.entry];
        if (this->now - reported < base::duration_ms{200})
        {
            return {};
        }
        reported = this->now;
        auto load = at.queue.report(this->now);
        load.work_left_ms = 1 + static_cast<std::uint32_t>(
                                    at.work.left_ms(load.limit, this->now));
        if (this->scenario.distort)
        {
            this->scenario.distort(ended.target, load, this->choice_random);
        }
        return load;
    }

    void answer(std::uint64_t id, bool served)
    {
        const auto ended = this->calls.at(id);
        this->calls.erase(id);
        const auto latency = this->now - ended.sent;
        const auto latency_ms = static_cast<double>(latency.count);
        auto& mean = this->mean_ms[ended.entry][ended.route];
        mean += served ? 0.05 * (latency_ms - mean) : 0;
        dispatch_result outcome;
        outcome.answered = !this->has_gone(ended.target);
        outcome.refused = outcome.answered && !served;
        outcome.latency = {static_cast<std::int64_t>(100 * latency_ms / mean)};
        outcome.kind = routes[ended.route].kind;
        outcome.elapsed = latency;
        outcome.load =
            outcome.answered ? this->report(ended) : schema::load_report{};
        if (served)
        {
            outcome.service_time = this->now - ended.started;
        }
        this->entries[ended.entry].own_work_ms[ended.target] -=
            routes[ended.route].work_ms;
        this->tables[ended.entry].on_result(
            zone_name(ended.target), outcome, this->now);
        const bool late = !served || latency > routes[ended.route].objective;
        this->result.in_time += late ? 0 : 1;
        this->result.latencies.push_back(
            served ? latency.count : deadline.count);
    }

    cost_case scenario;
    //! Draws the load, which is the same for every rule of choice.
    std::mt19937_64 random;
    std::mt19937_64 choice_random;
    base::time_ms now;
    std::array<simulated_target, size> targets;
    std::vector<target_table> tables;
    std::array<std::array<double, 2>, size> mean_ms;
    std::array<entry_state, size> entries;
    std::uint64_t last_id{0};
    std::map<std::uint64_t, call> calls;
    cost_result result;
};
} // namespace bilberrytally::decisions
