#include "replay/replayer.hpp"

#include "decisions/admission.hpp"
#include "decisions/retry_budget.hpp"
#include "decisions/slow_attempt_timeout.hpp"
#include "decisions/target_table.hpp"

#include <algorithm>
#include <deque>
#include <queue>
#include <random>
#include <set>

namespace bilberrytally::replay
{
namespace
{
using decisions::completion;

//! Largest number of attempts of a request under a baseline variant, which has
//! no retry budget.
constexpr std::uint32_t max_baseline_attempts = 4;
//! Used as timed_event::target by the timers that belong to no target.
const std::string deadline_timer = "deadline";
const std::string reroute_timer = "reroute";
//! The service has recovered once this share of the requests of a window is
//! good.
constexpr double recovered_share = 0.9;
constexpr base::duration_ms recovery_window{250};

//! A request and its present attempt.
struct request_state
{
    arrival content;
    base::time_ms arrived;
    decisions::request_retry_budget budget{0};
    //! Targets to which the request was dispatched.
    std::set<std::string> tried;
    //! Target of the present attempt; empty before the first one.
    std::string target;
    //! Time of the present attempt's dispatch.
    base::time_ms dispatched;
    std::uint32_t dispatches{0};
    //! Number of the present attempt; timers of earlier ones are ignored.
    std::uint32_t attempt{0};
    //! Served, failed for good or past its deadline.
    bool ended{false};
    //! Served before its deadline.
    bool good{false};
};

//! The admission of a target and its backend server, which runs as many calls
//! concurrently as it has slots and queues the others.
struct target_state
{
    target_state(std::uint32_t slots, const decisions::policy_variant& variant)
        : admission(slots, variant)
    {
    }

    decisions::admission admission;
    //! Requests that wait for a slot of the backend server.
    std::deque<std::uint64_t> backend_queue;
    //! Requests that occupy a slot.
    std::set<std::uint64_t> in_slot;
    //! Factor on service times.
    double slow_factor{1};
    bool up{true};
    //! Admitted requests, queued or in a slot, with their admission times.
    std::map<std::uint64_t, base::time_ms> running;
};

//! A timer: the end of a call at a target, a request's deadline or its reroute
//! to another target. Timers of the same time run in the order of creation.
struct timed_event
{
    base::time_ms at;
    std::uint64_t order;
    std::uint64_t request;
    std::uint32_t attempt;
    std::string target;

    bool operator>(const timed_event& other) const
    {
        return std::pair(this->at, this->order) >
               std::pair(other.at, other.order);
    }
};

//! Simulates one caller's node and the targets of one service.
class replayer
{
public:
    replayer(
        const trace& recorded, decisions::policy_variant variant,
        std::uint64_t seed)
        : recorded(recorded), variant(variant), random(seed),
          table("caller", "zone", variant), policy(recorded.policy)
    {
        schema::instance_list list{1, recorded.policy.name, {}};
        for (std::uint32_t i = 0; i < recorded.targets; ++i)
        {
            const auto id = "t" + std::to_string(i);
            list.instances.push_back(
                {id, "zone", "127.0.0.1", i + 1, schema::instance_state::live});
            auto& target =
                this->targets
                    .emplace(id, target_state(recorded.policy.slots, variant))
                    .first->second;
            target.admission.apply(recorded.policy);
        }
        this->table.apply(list, {0});
    }

    figures run()
    {
        for (const auto& event : this->recorded.events)
        {
            this->run_until(event.at);
            this->now = event.at;
            std::visit(
                [this](const auto& action) { this->on(action); }, event.action);
        }
        this->run_until({INT64_MAX});
        return this->summarize();
    }

private:
    //! Runs the timers up to and including \p end.
    void run_until(base::time_ms end)
    {
        while (!this->timers.empty() && this->timers.top().at <= end)
        {
            const auto event = this->timers.top();
            this->timers.pop();
            this->now = event.at;
            this->on_timer(event);
        }
    }

    void add_timer(
        base::time_ms at, std::uint64_t request, std::uint32_t attempt,
        const std::string& target)
    {
        this->timers.push({at, ++this->last_order, request, attempt, target});
    }

    void on(const arrival& content)
    {
        for (std::uint32_t i = 0; i < content.count; ++i)
        {
            this->arrive(content);
        }
    }

    void arrive(const arrival& content)
    {
        const auto id = ++this->last_request;
        auto& request = this->requests[id];
        request.content = content;
        request.arrived = this->now;
        request.budget =
            decisions::request_retry_budget(this->policy.retry_budget);
        this->retries.on_first_attempt(
            this->policy.name, this->policy.retry_ratio_percent);
        this->add_timer(this->now + content.timeout, id, 0, deadline_timer);
        this->dispatch(id);
    }

    void on(const slow_down& change)
    {
        this->targets.at(change.target).slow_factor = change.factor;
        this->last_disturbance = this->now;
    }

    void on(const availability_change& change)
    {
        auto& target = this->targets.at(change.target);
        target.up = change.up;
        this->last_disturbance = this->now;
        if (change.up)
        {
            return;
        }
        const auto lost = std::exchange(target.running, {});
        target.in_slot.clear();
        target.backend_queue.clear();
        for (const auto& [id, started] : lost)
        {
            this->wasted_ms += (this->now - started).count;
            const auto actions = target.admission.finish(
                id, completion::failed, this->now - started, this->now);
            this->attempt_failed(id, change.target, false);
            this->apply(change.target, actions);
        }
    }

    void on(const policy_change& change)
    {
        this->policy = change.policy;
        for (auto& [id, target] : this->targets)
        {
            target.admission.apply(change.policy);
        }
    }

    //! Sends a request to a target that has not been tried yet; ends it if
    //! there is none.
    void dispatch(std::uint64_t id)
    {
        auto& request = this->requests.at(id);
        const bool full = decisions::is_full_policy(this->variant);
        const bool refused =
            full && this->table.all_targets_shed(
                        request.content.priority, this->random, this->now);
        const auto chosen =
            refused
                ? std::nullopt
                : this->table.choose(request.tried, this->random, this->now);
        if (!chosen)
        {
            request.ended = true;
            return;
        }
        request.target = chosen->instance;
        request.tried.insert(chosen->instance);
        request.dispatched = this->now;
        ++request.dispatches;
        ++request.attempt;
        this->table.on_dispatch(request.target, this->now);
        this->schedule_reroute(id);
        auto& target = this->targets.at(request.target);
        if (!target.up)
        {
            this->table.on_unreachable(request.target, this->now);
            this->attempt_failed(id, request.target, true);
            return;
        }
        const auto deadline = request.arrived + request.content.timeout;
        // Traces name no routes: short and long work count as a route each. The
        // multiplier spreads the request ids to serve as hashes of the root
        // request.
        const std::uint64_t route = request.content.long_work ? 2 : 1;
        this->apply(
            request.target, target.admission.offer(
                                {id, request.content.priority,
                                 request.content.depth, id * 0x9e3779b97f4a7c15,
                                 deadline, request.content.long_work, route},
                                this->now));
    }

    //! Sets a timer to reroute a request that takes unusually long. Only the
    //! first attempt of short work is rerouted, within the retry budget.
    void schedule_reroute(std::uint64_t id)
    {
        const auto& request = this->requests.at(id);
        const bool possible = !request.content.long_work &&
                              request.dispatches == 1 &&
                              request.budget.left() > 0 &&
                              decisions::is_full_policy(this->variant);
        const auto delay = this->delay.timeout();
        if (possible && delay)
        {
            this->add_timer(
                this->now + *delay, id, request.attempt, reroute_timer);
        }
    }

    //! Cancels an attempt that takes too long and retries at another target.
    void on_reroute(const timed_event& event)
    {
        auto& request = this->requests.at(event.request);
        const bool current = !request.ended && request.attempt == event.attempt;
        if (!current || this->retries.tokens(this->policy.name) < 1)
        {
            return;
        }
        const auto name = request.target;
        this->cancel_attempt(event.request);
        this->attempt_failed(event.request, name, false, true);
    }

    //! Carries out what the admission of a target decided.
    void
    apply(const std::string& name, const decisions::admission_actions& actions)
    {
        auto& target = this->targets.at(name);
        for (const auto id : actions.start)
        {
            target.running[id] = this->now;
            target.backend_queue.push_back(id);
        }
        this->fill_slots(name, target);
        for (const auto& refused : actions.refuse)
        {
            const bool inverted = refused.reason == schema::refusal::overload &&
                                  refused.worst_waiting > refused.priority;
            this->inversions += inverted ? 1 : 0;
            this->attempt_failed(refused.id, name, true);
        }
    }

    //! Moves requests from the backend server's queue to its free slots.
    void fill_slots(const std::string& name, target_state& target)
    {
        while (!target.backend_queue.empty() &&
               target.in_slot.size() < this->recorded.policy.slots)
        {
            const auto id = target.backend_queue.front();
            target.backend_queue.pop_front();
            target.in_slot.insert(id);
            const auto& request = this->requests.at(id);
            const auto service = static_cast<std::int64_t>(
                static_cast<double>(request.content.service_time.count) *
                target.slow_factor);
            this->add_timer(
                this->now + base::duration_ms{service}, id, request.attempt,
                name);
        }
    }

    //! Removes a request from the backend server of a target.
    void remove_running(
        const std::string& name, target_state& target, std::uint64_t id)
    {
        target.running.erase(id);
        target.in_slot.erase(id);
        std::erase(target.backend_queue, id);
        this->fill_slots(name, target);
    }

    void on_timer(const timed_event& event)
    {
        auto& request = this->requests.at(event.request);
        if (event.target == deadline_timer)
        {
            this->on_deadline(event.request);
            return;
        }
        if (event.target == reroute_timer)
        {
            this->on_reroute(event);
            return;
        }
        auto& target = this->targets.at(event.target);
        const auto running = target.running.find(event.request);
        const bool current =
            running != target.running.end() && request.attempt == event.attempt;
        if (!current)
        {
            return;
        }
        const auto running_time = this->now - running->second;
        this->remove_running(event.target, target, event.request);
        const auto actions = target.admission.finish(
            event.request, completion::served, running_time, this->now);
        this->report(request, true, false, false, target);
        this->delay.on_answer(this->now - request.dispatched, 0);
        if (request.ended)
        {
            this->wasted_ms += running_time.count;
        }
        else
        {
            request.ended = true;
            request.good = true;
            this->record_good(request);
        }
        this->apply(event.target, actions);
    }

    void on_deadline(std::uint64_t id)
    {
        auto& request = this->requests.at(id);
        if (request.ended)
        {
            return;
        }
        request.ended = true;
        if (!request.target.empty())
        {
            this->cancel_attempt(id);
            this->report(
                request, false, true, false, this->targets.at(request.target));
        }
    }

    //! Cancels the present attempt of a request at its target.
    void cancel_attempt(std::uint64_t id)
    {
        // The baselines do not cancel work whose caller has given up.
        if (!decisions::is_full_policy(this->variant))
        {
            return;
        }
        const auto name = this->requests.at(id).target;
        auto& target = this->targets.at(name);
        const auto running = target.running.find(id);
        if (running == target.running.end())
        {
            target.admission.cancel_waiting(id);
            return;
        }
        const auto running_time = this->now - running->second;
        this->wasted_ms += running_time.count;
        this->remove_running(name, target, id);
        const auto actions = target.admission.finish(
            id, completion::ignored, running_time, this->now);
        this->apply(name, actions);
    }

    //! Tells the target table the result of the present attempt.
    void report(
        const request_state& request, bool answered, bool abandoned,
        bool refused, const target_state& target)
    {
        this->table.on_result(
            request.target,
            {answered, abandoned, refused, this->now - request.dispatched,
             target.admission.report(this->now)},
            this->now);
    }

    //! Retries a request after a failed attempt, or ends it if no retry is
    //! allowed. \p refused: the call is known not to have run, because the
    //! target refused it or was unreachable; the target table counts it as
    //! answered.
    void attempt_failed(
        std::uint64_t id, const std::string& name, bool refused,
        bool abandoned = false)
    {
        auto& request = this->requests.at(id);
        this->report(
            request, refused, abandoned, refused, this->targets.at(name));
        if (request.ended)
        {
            return;
        }
        const bool full = decisions::is_full_policy(this->variant);
        const bool may_retry =
            full ? request.budget.left() > 0 &&
                       this->retries.allow_retry(this->policy.name) &&
                       request.budget.spend()
                 : request.dispatches < max_baseline_attempts;
        if (!may_retry)
        {
            request.ended = true;
            return;
        }
        this->dispatch(id);
    }

    void record_good(const request_state& request)
    {
        const auto latency = (this->now - request.arrived).count;
        const auto name = "class" + std::to_string(request.content.priority);
        this->good[name] += 1;
        this->latencies[name].push_back(latency);
        const auto lane = request.content.long_work ? "long" : "short";
        this->good[lane] += 1;
        this->latencies[lane].push_back(latency);
        this->useful_ms +=
            static_cast<double>(request.content.service_time.count);
    }

    static double p99(std::vector<std::int64_t> values)
    {
        constexpr double share = 0.99;
        const auto at = static_cast<std::size_t>(
            share * static_cast<double>(values.size() - 1));
        std::nth_element(
            values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at),
            values.end());
        return static_cast<double>(values[at]);
    }

    //! Time from the last disturbance to the first window in which the service
    //! has recovered, in steps of the window; to the end of the trace if it
    //! does not recover.
    double recovery_ms() const
    {
        auto from = this->last_disturbance;
        const auto end = this->recorded.events.back().at;
        for (; from < end; from = from + recovery_window)
        {
            double sent = 0;
            double good = 0;
            for (const auto& [id, request] : this->requests)
            {
                const bool within = request.arrived >= from &&
                                    request.arrived < from + recovery_window;
                sent += within ? 1 : 0;
                good += within && request.good ? 1 : 0;
            }
            if (sent > 0 && good >= recovered_share * sent)
            {
                break;
            }
        }
        return static_cast<double>((from - this->last_disturbance).count);
    }

    figures summarize() const
    {
        figures result;
        std::uint32_t max_dispatches = 0;
        for (const auto& [id, request] : this->requests)
        {
            const auto name =
                "class" + std::to_string(request.content.priority);
            result[name + ".requests"] += 1;
            const auto lane = request.content.long_work ? "long" : "short";
            result[std::string(lane) + ".requests"] += 1;
            max_dispatches = std::max(max_dispatches, request.dispatches);
        }
        for (const auto& [name, count] : this->good)
        {
            result[name + ".good"] = count;
            result[name + ".p99_ms"] = p99(this->latencies.at(name));
        }
        std::vector<std::string> names;
        for (const auto& [name, value] : result)
        {
            if (name.ends_with(".requests"))
            {
                names.push_back(name.substr(0, name.find('.')));
            }
        }
        for (const auto& name : names)
        {
            result[name + ".good_share"] =
                result[name + ".good"] / result[name + ".requests"];
        }
        const auto duration =
            this->recorded.events.back().at - this->recorded.events.front().at;
        const auto slots =
            static_cast<double>(this->recorded.targets) * this->policy.slots;
        result["useful_share"] =
            this->useful_ms / (slots * static_cast<double>(duration.count));
        result["inversions"] = this->inversions;
        result["max_dispatches"] = max_dispatches;
        result["wasted_ms"] = static_cast<double>(this->wasted_ms);
        result["recovery_ms"] = this->recovery_ms();
        return result;
    }

    const trace& recorded;
    decisions::policy_variant variant;
    std::mt19937_64 random;
    decisions::target_table table;
    decisions::retry_throttle retries;
    decisions::slow_attempt_timeout delay;
    schema::service_policy policy;
    std::map<std::string, target_state> targets;
    std::map<std::uint64_t, request_state> requests;
    std::priority_queue<timed_event, std::vector<timed_event>, std::greater<>>
        timers;
    base::time_ms now;
    //! Time of the last slow-down, failure or return of a target.
    base::time_ms last_disturbance;
    //! Number of the last timer.
    std::uint64_t last_order{0};
    std::uint64_t last_request{0};
    double inversions{0};
    std::int64_t wasted_ms{0};
    double useful_ms{0};
    //! Good requests and their latencies in ms, by priority class and by lane.
    std::map<std::string, double> good;
    std::map<std::string, std::vector<std::int64_t>> latencies;
};
} // namespace

figures replay_trace(
    const trace& recorded, const decisions::policy_variant& variant,
    std::uint64_t seed)
{
    return replayer(recorded, variant, seed).run();
}
} // namespace bilberrytally::replay
