#include "decisions/admission.hpp"

#include "base/variant_visitor.hpp"

#include <algorithm>
#include <cmath>

namespace bilberrytally::decisions
{
namespace
{
//! Maximum waiting time, used until a ticket sets it.
constexpr base::duration_ms default_max_wait{500};
//! A call that waited longer than this puts the queue into overload order.
constexpr base::duration_ms overload_wait_threshold{50};
//! Time for which overload order holds after its last cause.
constexpr base::duration_ms overload_hold{1000};
//! Time for which a refused priority class is reported as the shed threshold.
constexpr base::duration_ms shed_threshold_hold{1000};
//! Time for which less important arrivals are refused after a refusal.
constexpr base::duration_ms arrival_refusal_hold{100};
//! Bound of the number of waiting calls, both lanes together.
constexpr std::size_t max_waiting = 10000;
//! Bound of the number of routes with learned service times.
constexpr std::size_t max_routes = 1024;
//! Samples of a route before its learned service time is used.
constexpr std::uint64_t min_samples = 20;
//! A route is long work if its median service time exceeds this many times the
//! lower quartile of all routes, and long_work_minimum.
constexpr double long_work_ratio = 8.0;
constexpr base::duration_ms long_work_minimum{200};
//! Leaves the top 3 bits of the root hash: 8 groups of root requests.
constexpr unsigned root_hash_shift = 61;
//! Weight of a new sample in the moving average of the waiting time.
constexpr double wait_average_weight = 0.1;
constexpr double ms_per_s = 1000;
constexpr base::time_ms never{INT64_MIN / 2};
//! Backend servers slow down when their last slots are taken. With exact slots
//! only this share of them is used.
constexpr double usable_slot_share = 0.95;

std::uint32_t usable_slots(std::uint32_t slots)
{
    const auto below =
        static_cast<std::uint32_t>(std::floor(slots * usable_slot_share));
    return std::max(below, 1U);
}
} // namespace

std::uint32_t shed_class(std::uint32_t root_priority, std::uint32_t depth)
{
    constexpr std::uint32_t classes_per_priority = 2;
    const auto lowest = priority_classes - 1;
    const auto first = std::min(root_priority, lowest) * classes_per_priority;
    return std::min(first + (depth == 0 ? 1 : 0), lowest);
}

admission::admission(std::uint32_t slots, policy_variant variant)
    : variant(variant), limit(slots), max_wait(default_max_wait)
{
    this->refused_at.fill(never);
}

void admission::apply(const schema::service_policy& policy)
{
    this->limit.set_exact(policy.exact_slots);
    this->limit.set_slots(
        policy.exact_slots ? usable_slots(policy.slots) : policy.slots);
    this->max_wait = {policy.max_wait_ms};
    this->long_share_percent = policy.long_share_percent;
}

admission_actions
admission::offer(const admission_request& request, base::time_ms now)
{
    admission_actions actions;
    this->refuse_expired(now, actions);
    if (!this->refuse_on_arrival(request, now, actions))
    {
        this->enqueue(request, now);
        this->start_waiting_calls(now, actions);
        this->enforce_queue_bound(now, actions);
    }
    return this->with_worst_waiting(std::move(actions));
}

bool admission::refuse_on_arrival(
    const admission_request& request, base::time_ms now,
    admission_actions& actions)
{
    if (!is_full_policy(this->variant))
    {
        return false;
    }
    const auto service = this->expected_service(request.route);
    const auto wait = this->expected_wait(request, now);
    const bool must_not_overtake =
        this->is_less_important_than_refused(request.priority, now) &&
        !this->lane_has_room(this->is_long(request), now);
    if (now + wait + service <= request.deadline && !must_not_overtake)
    {
        return false;
    }
    // A call that could finish if it did not have to wait is refused because
    // of load, not because its caller's deadline is too short.
    const bool refused_for_load = now + service <= request.deadline;
    if (refused_for_load)
    {
        this->shed_less_important(request.priority, now, actions);
        this->record_refusal(request.priority, now);
    }
    actions.refuse.push_back(
        {request.id,
         refused_for_load ? schema::refusal::overload
                          : schema::refusal::deadline,
         request.priority});
    return true;
}

admission_actions admission::finish(
    std::uint64_t id, completion kind, base::duration_ms service_time,
    base::time_ms now)
{
    admission_actions actions;
    const auto found = this->running.find(id);
    if (found == this->running.end())
    {
        return actions;
    }
    const auto call = found->second;
    this->running.erase(found);
    this->long_running -= call.long_work ? 1 : 0;
    double slowdown = 1;
    if (kind == completion::served)
    {
        auto& times = this->service_times_of(call.route);
        const auto median = times.quantile(0.5).count;
        const bool known = times.count() >= min_samples && median > 0;
        slowdown = known ? static_cast<double>(service_time.count) /
                               static_cast<double>(median)
                         : 1;
        times.add(service_time);
        this->all_service_times.add(service_time);
    }
    this->limit.on_completion(kind, slowdown, this->in_flight(), now);
    this->refuse_expired(now, actions);
    this->start_waiting_calls(now, actions);
    return this->with_worst_waiting(std::move(actions));
}

bool admission::cancel_waiting(std::uint64_t id)
{
    for (auto& lane : this->lanes)
    {
        if (lane.count(id) != 0)
        {
            this->erase_waiting(lane, id);
            return true;
        }
    }
    return false;
}

bool admission::on_stated_rate(std::optional<double> per_s, base::time_ms now)
{
    return this->stated_rate.on_response(per_s, now);
}

admission_actions admission::advance(base::time_ms now)
{
    admission_actions actions;
    this->refuse_expired(now, actions);
    this->start_waiting_calls(now, actions);
    return this->with_worst_waiting(std::move(actions));
}

admission_actions admission::with_worst_waiting(admission_actions actions) const
{
    std::uint32_t worst = 0;
    for (std::uint32_t i = 0; i < priority_classes; ++i)
    {
        worst = this->waiting_per_class[i] > 0 ? i : worst;
    }
    for (auto& refused : actions.refuse)
    {
        refused.worst_waiting = worst;
    }
    return actions;
}

std::uint32_t admission::current_limit() const
{
    return std::visit(
        base::variant_visitor{
            [&](const full_policy&) { return this->limit.value(); },
            [&](const fixed_fifo_policy&) { return this->limit.upper_bound(); },
            [](const pass_through_policy&) { return UINT32_MAX; }},
        this->variant);
}

std::uint32_t admission::reported_limit() const
{
    const auto limit = this->current_limit();
    const auto rate = this->stated_rate.rate();
    const double service_ms = this->all_service_times.mean();
    if (!rate || service_ms <= 0)
    {
        return limit;
    }
    // Little's law: the calls that run at once if they start at this rate.
    const double running = std::ceil(*rate * service_ms / ms_per_s);
    return static_cast<std::uint32_t>(
        std::clamp(running, 1.0, static_cast<double>(limit)));
}

void admission::refuse_expired(base::time_ms now, admission_actions& actions)
{
    for (auto& lane : this->lanes)
    {
        auto& index = lane.get<by_expiry>();
        while (!index.empty() && index.begin()->expires <= now)
        {
            const auto call = *index.begin();
            this->erase_waiting(lane, call.id);
            const bool past_deadline = call.request.deadline <= now;
            actions.refuse.push_back(
                {call.id,
                 past_deadline ? schema::refusal::deadline
                               : schema::refusal::overload,
                 call.request.priority});
            this->shed_less_important(call.request.priority, now, actions);
            this->record_refusal(call.request.priority, now);
        }
    }
}

admission_actions admission::refuse_all(schema::refusal reason)
{
    admission_actions actions;
    for (auto& lane : this->lanes)
    {
        for (const auto& call : lane)
        {
            actions.refuse.push_back({call.id, reason, call.request.priority});
        }
        lane.clear();
    }
    this->waiting_per_class.fill(0);
    return actions;
}

schema::load_report admission::report(base::time_ms now) const
{
    schema::load_report report;
    report.valid = true;
    report.queue_delay_ms =
        this->waiting() == 0 ? 0
                             : static_cast<std::uint32_t>(this->recent_wait_ms);
    // Reports running and waiting calls, unlike in_flight().
    report.in_flight =
        this->in_flight() + static_cast<std::uint32_t>(this->waiting());
    report.limit = this->reported_limit();
    // 255 says that no class is shed.
    report.floor = UINT8_MAX;
    if (!is_full_policy(this->variant))
    {
        return report;
    }
    for (std::uint32_t i = priority_classes; i > 0; --i)
    {
        if (now - this->refused_at[i - 1] < shed_threshold_hold)
        {
            report.floor = i - 1;
        }
    }
    return report;
}

std::uint32_t admission::in_flight() const
{
    return static_cast<std::uint32_t>(this->running.size());
}

std::size_t admission::waiting() const
{
    return this->lanes[0].size() + this->lanes[1].size();
}

bool admission::is_less_important_than_refused(
    std::uint32_t priority, base::time_ms now) const
{
    return std::any_of(
        this->refused_at.begin(), this->refused_at.begin() + priority,
        [&](base::time_ms refused)
        { return now - refused < arrival_refusal_hold; });
}

bool admission::is_overloaded(base::time_ms now) const
{
    return now < this->overloaded_until;
}

bool admission::is_long(const admission_request& request) const
{
    if (request.long_work)
    {
        return true;
    }
    const auto found = this->service_times.find(request.route);
    if (found == this->service_times.end() ||
        found->second.count() < min_samples)
    {
        return false;
    }
    const auto median = found->second.quantile(0.5);
    const auto all = this->all_service_times.quantile(0.25);
    return median >= long_work_minimum &&
           static_cast<double>(median.count) >
               long_work_ratio * static_cast<double>(all.count);
}

std::uint32_t admission::max_long_running() const
{
    const auto share = this->limit.value() * this->long_share_percent / 100;
    return std::max(1U, share);
}

bool admission::lane_has_room(bool long_work, base::time_ms now) const
{
    if (this->in_flight() >= this->current_limit() ||
        !this->stated_rate.allows(now))
    {
        return false;
    }
    return !long_work || !is_full_policy(this->variant) ||
           this->long_running < this->max_long_running();
}

admission::order_key
admission::queue_order(const admission_request& request, base::time_ms now)
{
    ++this->sequence;
    if (!is_full_policy(this->variant))
    {
        return {0, 0, 0, this->sequence};
    }
    const auto depth = -static_cast<std::int64_t>(request.depth);
    if (!this->is_overloaded(now))
    {
        return {request.priority, depth, 0, this->sequence};
    }
    const auto root_group = request.root_hash >> root_hash_shift;
    return {request.priority, depth, root_group, -this->sequence};
}

base::duration_ms admission::expected_wait(
    const admission_request& request, base::time_ms now) const
{
    const bool long_work = this->is_long(request);
    if (this->lane_has_room(long_work, now) && this->waiting() == 0)
    {
        return {0};
    }
    std::size_t ahead = 0;
    for (std::uint32_t i = 0; i < request.priority; ++i)
    {
        ahead += this->waiting_per_class[i];
    }
    const auto same_class = this->waiting_per_class[request.priority];
    ahead += this->is_overloaded(now) ? same_class / 2 : same_class;
    const double per_slot =
        static_cast<double>(ahead) / static_cast<double>(this->limit.value());
    const base::duration_ms wait_for_slot{
        static_cast<std::int64_t>(per_slot * this->all_service_times.mean())};
    const auto calls = static_cast<double>(ahead) + 1;
    return std::max(wait_for_slot, this->stated_rate.time_for(calls, now));
}

base::duration_ms admission::expected_service(std::uint64_t route) const
{
    const auto found = this->service_times.find(route);
    if (found == this->service_times.end() ||
        found->second.count() < min_samples)
    {
        return {0};
    }
    return found->second.quantile(0.5);
}

void admission::start(const admission_request& request, base::time_ms now)
{
    this->stated_rate.on_start(now);
    const bool long_work = this->is_long(request);
    this->running.emplace(request.id, running_call{long_work, request.route});
    this->long_running += long_work ? 1 : 0;
}

void admission::enqueue(const admission_request& request, base::time_ms now)
{
    const auto service = this->expected_service(request.route);
    const auto last_start = request.deadline - service;
    const bool has_full_policy = is_full_policy(this->variant);
    const auto expires = has_full_policy
                             ? std::min(last_start, now + this->max_wait)
                             : request.deadline;
    auto& lane = this->lanes[has_full_policy && this->is_long(request) ? 1 : 0];
    const auto order = this->queue_order(request, now);
    lane.insert({request.id, order, expires, now, request});
    ++this->waiting_per_class[request.priority];
}

void admission::erase_waiting(queue& lane, std::uint64_t id)
{
    const auto found = lane.find(id);
    --this->waiting_per_class[found->request.priority];
    lane.erase(found);
}

admission::queue* admission::next_lane(base::time_ms now)
{
    auto& short_lane = this->lanes[0];
    auto& long_lane = this->lanes[1];
    const bool short_ready =
        !short_lane.empty() && this->lane_has_room(false, now);
    const bool long_ready =
        !long_lane.empty() && this->lane_has_room(true, now);
    if (!short_ready || !long_ready)
    {
        return short_ready ? &short_lane : long_ready ? &long_lane : nullptr;
    }
    const auto short_class =
        std::get<0>(short_lane.get<by_order>().begin()->order);
    const auto long_class =
        std::get<0>(long_lane.get<by_order>().begin()->order);
    if (short_class != long_class)
    {
        return short_class < long_class ? &short_lane : &long_lane;
    }
    // One running long call is guaranteed, so that long work does not starve.
    return this->long_running == 0 ? &long_lane : &short_lane;
}

void admission::start_waiting_calls(
    base::time_ms now, admission_actions& actions)
{
    while (auto* lane = this->next_lane(now))
    {
        const auto call = *lane->get<by_order>().begin();
        this->erase_waiting(*lane, call.id);
        const auto waited = now - call.arrived;
        this->recent_wait_ms +=
            wait_average_weight *
            (static_cast<double>(waited.count) - this->recent_wait_ms);
        if (waited > overload_wait_threshold)
        {
            this->overloaded_until = now + overload_hold;
        }
        this->start(call.request, now);
        actions.start.push_back(call.id);
    }
}

admission::queue& admission::least_important_lane()
{
    const auto last_order = [](const queue& lane)
    {
        const auto& index = lane.get<by_order>();
        return index.empty() ? order_key{} : std::prev(index.end())->order;
    };
    const bool first = last_order(this->lanes[0]) >= last_order(this->lanes[1]);
    return this->lanes[first ? 0 : 1];
}

void admission::enforce_queue_bound(
    base::time_ms now, admission_actions& actions)
{
    while (this->waiting() > max_waiting)
    {
        auto& lane = this->least_important_lane();
        const auto last = *std::prev(lane.get<by_order>().end());
        this->erase_waiting(lane, last.id);
        actions.refuse.push_back(
            {last.id, schema::refusal::overload, last.request.priority});
        this->record_refusal(last.request.priority, now);
    }
}

void admission::shed_less_important(
    std::uint32_t priority, base::time_ms now, admission_actions& actions)
{
    for (auto& lane : this->lanes)
    {
        auto& index = lane.get<by_order>();
        while (is_full_policy(this->variant) && !index.empty())
        {
            const auto last = *std::prev(index.end());
            if (last.request.priority <= priority)
            {
                break;
            }
            this->erase_waiting(lane, last.id);
            actions.refuse.push_back(
                {last.id, schema::refusal::overload, last.request.priority});
            this->record_refusal(last.request.priority, now);
        }
    }
}

void admission::record_refusal(std::uint32_t priority, base::time_ms now)
{
    this->refused_at[priority] = now;
    this->overloaded_until = now + overload_hold;
}

latency_histogram& admission::service_times_of(std::uint64_t route)
{
    if (this->service_times.size() >= max_routes &&
        this->service_times.count(route) == 0)
    {
        this->service_times.erase(this->service_times.begin());
    }
    return this->service_times[route];
}
} // namespace bilberrytally::decisions
