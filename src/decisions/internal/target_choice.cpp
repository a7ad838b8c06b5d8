#include "decisions/target_table.hpp"

#include "base/hash.hpp"
#include "decisions/admission.hpp"
#include "decisions/zone_preference.hpp"

#include <algorithm>
#include <limits>

// The part of target_table that balances calls over targets and ejects slow
// ones.
namespace bilberrytally::decisions
{
namespace
{
//! Maximum number of targets from the local zone, and again from all other
//! zones together.
constexpr std::size_t subset_size = 12;
//! Warm-up of a new target: its share of calls grows to the full share over
//! this time, from the lowest share.
constexpr base::duration_ms warmup_duration{10000};
constexpr double warmup_lowest_share = 0.1;
//! Interval of probe calls to an ejected target; doubles while it stays slow.
constexpr base::duration_ms first_probe_interval{500};
constexpr base::duration_ms max_probe_interval{4000};
//! One in this many calls is sent although all targets shed its class.
constexpr unsigned shed_probe_one_in = 10;
//! A target is slow if its latency exceeds this many times the median of its
//! peers and slow_minimum_ms, measured over at least slow_min_samples.
constexpr double slow_ratio = 3.0;
constexpr double slow_minimum_ms = 5.0;
constexpr std::uint64_t slow_min_samples = 10;
//! Failures in a row from which on a target counts as failing.
constexpr std::uint32_t failure_threshold = 3;
//! At most one in this many targets of the subset is ejected.
constexpr std::size_t max_ejected_one_in = 3;
//! A target is saturated if its in-flight calls exceed this many times its
//! limit.
constexpr double saturation_ratio = 1.5;
//! Calls without a latency objective leave the local zone if its best target
//! costs more than this many times the best target of all zones.
constexpr double local_zone_preference = 3.0;
//! The same where the targets of all zones are saturated. It is smaller, since
//! the zones then share the load in proportion to their speed.
constexpr double saturated_zone_preference = 1.5;
//! Age up to which a load report counts as recent.
constexpr base::duration_ms report_lifetime{2000};
//! A node whose input waits for at least this long has no processor time left.
//! A chain passes the same nodes many times, so its delays add up.
constexpr std::uint32_t busy_node_delay_ms = 10;
//! A target with at least this share of its slots in use gets no second
//! attempts of slow calls.
constexpr double spare_load_share = 0.6;
//! Upper bound of the share of failed calls in a target's cost, which would
//! grow without limit.
constexpr double max_failed_share = 0.9;
constexpr double percent = 100;
//! Class of the calls that targets shed first.
constexpr std::uint32_t last_shed_class = priority_classes - 1;
} // namespace

std::optional<target_address> target_table::choose(
    const std::set<std::string>& excluded, std::mt19937_64& random,
    base::time_ms now, const call_profile& profile)
{
    if (!is_full_policy(this->variant))
    {
        return this->next_round_robin(excluded);
    }
    if (auto* probed = this->probe_due(excluded, now))
    {
        probed->last_probe = now;
        return probed->address;
    }
    auto pool = this->candidates(excluded, profile, random, now);
    if (pool.empty())
    {
        return std::nullopt;
    }
    auto* best = this->best_by_cost(pool, profile, random, now);
    if (best == nullptr)
    {
        best = this->better_of_two(pool, random, now);
    }
    return best->address;
}

std::optional<target_address>
target_table::next_round_robin(const std::set<std::string>& excluded)
{
    std::vector<target_address> pool;
    for (const auto& [id, candidate] : this->targets)
    {
        if (!candidate.listed_leaving && excluded.count(id) == 0)
        {
            pool.push_back(candidate.address);
        }
    }
    return pool.empty()
               ? std::nullopt
               : std::optional(pool[this->round_robin_index++ % pool.size()]);
}

bool target_table::all_targets_shed(
    std::uint32_t priority, std::mt19937_64& random, base::time_ms now) const
{
    bool any_available = false;
    for (const auto& id : this->subset)
    {
        const auto& candidate = this->targets.at(id);
        if (this->state_of(candidate, now) != target_state::available)
        {
            continue;
        }
        any_available = true;
        if (candidate.floor_until <= now || candidate.floor >= priority)
        {
            return false;
        }
    }
    return any_available && random() % shed_probe_one_in != 0;
}

bool target_table::has_spare_target(
    const std::set<std::string>& excluded, base::time_ms now) const
{
    return std::any_of(
        this->subset.begin(), this->subset.end(),
        [&](const auto& id)
        {
            const auto& candidate = this->targets.at(id);
            const bool recent = now - candidate.reported_at < report_lifetime;
            const auto used = static_cast<double>(candidate.reported_in_flight);
            // A target without a recent report is assumed to have spare slots.
            const bool has_spare_slots =
                !recent || used < spare_load_share * candidate.reported_limit;
            return excluded.count(id) == 0 && has_spare_slots &&
                   !is_node_busy(candidate, now) &&
                   this->state_of(candidate, now) == target_state::available;
        });
}

double target_table::cost(const target& candidate, base::time_ms now) const
{
    const double own = candidate.in_flight;
    const double reported = candidate.reported_in_flight;
    const double limit = std::max(candidate.reported_limit, 1U);
    const double load = 1 + own + reported / limit;
    // The time that calls have waited without any answer shows a slow target
    // before its answers do.
    const double latency =
        std::max({candidate.latency_ms, unanswered_ms(candidate, now), 1.0});
    const double served_share =
        1 - std::min(candidate.failed_share, max_failed_share);
    return load * latency / (warmup_share(candidate, now) * served_share);
}

double target_table::warmup_share(const target& candidate, base::time_ms now)
{
    if (!candidate.needs_warmup)
    {
        return 1;
    }
    const auto age = static_cast<double>((now - candidate.first_seen).count);
    return std::clamp(
        age / static_cast<double>(warmup_duration.count), warmup_lowest_share,
        1.0);
}

double target_table::unanswered_ms(const target& candidate, base::time_ms now)
{
    return candidate.in_flight == 0
               ? 0
               : static_cast<double>((now - candidate.unanswered_since).count);
}

double target_table::expected_ms(
    const target& candidate, const call_profile& profile,
    base::time_ms now) const
{
    const double measured =
        candidate.samples == 0
            ? profile.mean_latency_ms
            : candidate.latency_ms / percent * profile.mean_latency_ms;
    const double latency = std::max(measured, unanswered_ms(candidate, now));
    const auto objective = static_cast<double>(profile.latency_objective.count);
    return latency + candidate.failed_share * objective;
}

bool target_table::is_saturated(
    const target& candidate, std::uint32_t shed_class, base::time_ms now) const
{
    if (is_node_busy(candidate, now))
    {
        return true;
    }
    if (candidate.floor_until > now)
    {
        // Calls that it does not shed start before those that wait.
        return shed_class >= candidate.floor;
    }
    const bool recent = now - candidate.reported_at < report_lifetime;
    return recent && candidate.reported_limit > 0 &&
           candidate.reported_in_flight >
               saturation_ratio * candidate.reported_limit;
}

bool target_table::is_node_busy(const target& candidate, base::time_ms now)
{
    return now - candidate.reported_at < report_lifetime &&
           candidate.reported_input_delay_ms >= busy_node_delay_ms;
}

std::vector<target_table::target*> target_table::candidates(
    const std::set<std::string>& excluded, const call_profile& profile,
    std::mt19937_64& random, base::time_ms now)
{
    std::vector<target*> local;
    std::vector<target*> all;
    bool local_capacity = false;
    bool any_capacity = false;
    for (const auto& id : this->subset)
    {
        auto& candidate = this->targets.at(id);
        const auto state = this->state_of(candidate, now);
        // An ejected target is better than a saturated one.
        const bool usable =
            state == target_state::available ||
            (state == target_state::ejected &&
             !this->others_have_capacity(candidate, profile.shed_class, now));
        if (!usable || excluded.count(id) != 0)
        {
            continue;
        }
        const bool has_capacity =
            !this->is_saturated(candidate, profile.shed_class, now);
        all.push_back(&candidate);
        any_capacity |= has_capacity;
        if (candidate.zone == this->zone)
        {
            local.push_back(&candidate);
            local_capacity |= has_capacity;
        }
    }
    if (local.empty())
    {
        return all;
    }
    if (!any_capacity)
    {
        return this->is_local_cheap(local, all, saturated_zone_preference, now)
                   ? local
                   : all;
    }
    const bool use_local =
        local_capacity && this->stays_local(local, all, profile, random, now);
    return use_local ? local : all;
}

bool target_table::stays_local(
    const std::vector<target*>& local, const std::vector<target*>& all,
    const call_profile& profile, std::mt19937_64& random,
    base::time_ms now) const
{
    const bool expectation_known =
        profile.mean_latency_ms > 0 && profile.latency_objective.count > 0;
    if (!expectation_known)
    {
        return this->is_local_cheap(local, all, local_zone_preference, now);
    }
    const auto lowest = [&](const std::vector<target*>& pool)
    {
        double lowest_ms = std::numeric_limits<double>::max();
        for (const auto* candidate : pool)
        {
            const double expected =
                this->placed_by_cost
                    ? this->completion_ms(*candidate, profile, now)
                    : this->expected_ms(*candidate, profile, now);
            lowest_ms = std::min(lowest_ms, expected);
        }
        return lowest_ms;
    };
    const double share = share_leaving_zone(
        {lowest(local), lowest(all)}, profile.latency_objective);
    return std::uniform_real_distribution<double>()(random) >= share;
}

bool target_table::is_local_cheap(
    const std::vector<target*>& local, const std::vector<target*>& all,
    double preference, base::time_ms now) const
{
    return this->lowest_cost(local, now) <=
           preference * this->lowest_cost(all, now);
}

double target_table::lowest_cost(
    const std::vector<target*>& pool, base::time_ms now) const
{
    double lowest = std::numeric_limits<double>::max();
    for (const auto* candidate : pool)
    {
        lowest = std::min(lowest, this->cost(*candidate, now));
    }
    return lowest;
}

bool target_table::others_have_capacity(
    const target& except, std::uint32_t shed_class, base::time_ms now) const
{
    return std::any_of(
        this->subset.begin(), this->subset.end(),
        [&](const auto& id)
        {
            const auto& other = this->targets.at(id);
            return &other != &except &&
                   this->state_of(other, now) == target_state::available &&
                   !this->is_saturated(other, shed_class, now);
        });
}

void target_table::update_subset()
{
    this->subset = this->rendezvous_subset(true);
    const auto remote = this->rendezvous_subset(false);
    this->subset.insert(this->subset.end(), remote.begin(), remote.end());
}

std::vector<std::string> target_table::rendezvous_subset(bool local_zone) const
{
    std::vector<std::pair<std::uint64_t, std::string>> order;
    for (const auto& [id, candidate] : this->targets)
    {
        const bool usable = !candidate.listed_leaving;
        if (usable && (candidate.zone == this->zone) == local_zone)
        {
            order.emplace_back(base::hash_parts({this->self, id}), id);
        }
    }
    const auto count = std::min(order.size(), subset_size);
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(order.begin(), end, order.end(), std::greater<>());
    std::vector<std::string> ids;
    for (auto item = order.begin(); item != end; ++item)
    {
        ids.push_back(std::move(item->second));
    }
    return ids;
}

target_table::target* target_table::probe_due(
    const std::set<std::string>& excluded, base::time_ms now)
{
    for (const auto& id : this->subset)
    {
        auto& candidate = this->targets.at(id);
        const bool idle = candidate.in_flight == 0;
        const bool due = now - candidate.last_probe >= candidate.probe_interval;
        const bool ejected =
            this->state_of(candidate, now) == target_state::ejected;
        if (ejected && idle && due && excluded.count(id) == 0)
        {
            return &candidate;
        }
    }
    return nullptr;
}

target_table::target* target_table::better_of_two(
    std::vector<target*>& pool, std::mt19937_64& random,
    base::time_ms now) const
{
    if (pool.size() == 1)
    {
        return pool.front();
    }
    // The two candidates are different, so the worst of all is never chosen.
    const auto one = random() % pool.size();
    const auto other = (one + 1 + random() % (pool.size() - 1)) % pool.size();
    auto* first = pool[one];
    auto* second = pool[other];
    return this->cost(*first, now) <= this->cost(*second, now) ? first : second;
}

void target_table::update_ejection(target& candidate, base::time_ms now)
{
    const double median = this->median_latency(candidate);
    const bool slow = candidate.samples >= slow_min_samples && median > 0 &&
                      candidate.latency_ms > slow_minimum_ms &&
                      candidate.latency_ms > slow_ratio * median;
    const bool failing = candidate.failures >= failure_threshold;
    if (!slow && !failing)
    {
        candidate.ejected_until = {INT64_MIN / 2};
        candidate.probe_interval = {0};
        return;
    }
    const bool was_ejected = candidate.ejected_until > now;
    const auto allowed = this->subset.size() / max_ejected_one_in;
    const bool possible =
        this->ejected_count(now) < allowed &&
        this->others_have_capacity(candidate, last_shed_class, now);
    if (!was_ejected && !possible)
    {
        return;
    }
    // Each probe that still finds the target slow doubles the probe interval.
    const bool probed = now - candidate.last_probe >= candidate.probe_interval;
    if (!was_ejected || probed)
    {
        candidate.probe_interval =
            was_ejected
                ? std::min(candidate.probe_interval * 2, max_probe_interval)
                : first_probe_interval;
        candidate.last_probe = now;
    }
    // The ejection outlasts the next probe, which is due after one interval.
    candidate.ejected_until = now + candidate.probe_interval * 2;
}

double target_table::median_latency(const target& except) const
{
    std::vector<double> values;
    for (const auto& id : this->subset)
    {
        const auto& candidate = this->targets.at(id);
        if (&candidate != &except && candidate.samples > 0)
        {
            values.push_back(candidate.latency_ms);
        }
    }
    if (values.empty())
    {
        return 0;
    }
    const auto middle =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

std::size_t target_table::ejected_count(base::time_ms now) const
{
    return static_cast<std::size_t>(std::count_if(
        this->subset.begin(), this->subset.end(),
        [&](const auto& id)
        { return this->targets.at(id).ejected_until > now; }));
}
} // namespace bilberrytally::decisions
