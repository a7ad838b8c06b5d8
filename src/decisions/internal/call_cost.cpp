#include "decisions/call_cost.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

namespace bilberrytally::decisions
{
namespace
{
//! Range of the histograms and number of their buckets, on a logarithmic scale.
constexpr double min_ms = 1;
constexpr double max_ms = 1e6;
constexpr unsigned bucket_count = 48;
//! All weights are halved after each of this many samples.
constexpr std::uint32_t decay_interval = 512;
//! Samples of a kind before its distribution is used.
constexpr std::uint32_t min_samples = 10;
//! Samples of a kind before targets are compared by it. With fewer, the typical
//! work may still be that of an expensive first call.
constexpr std::uint32_t min_typical_samples = 30;
//! Bound of the number of kinds; the one used least recently is dropped.
constexpr std::size_t max_kinds = 256;
//! Weight of a new sample in the moving average of the slowness.
constexpr double slowness_weight = 0.1;
//! Weight of a new sample in the moving average of the typical work.
constexpr double typical_weight = 0.02;
//! Share by which the average returns to 1 with each sample. The work of calls
//! and the slowness of targets are only known up to a common factor, which
//! would drift without it.
constexpr double slowness_decay = 0.002;
//! Largest change of the logarithm that one sample stands for, so that a single
//! expensive call moves the average little.
constexpr double max_log_change = 1.0;
//! Bound of the work left, so that reports can hold it.
constexpr double max_left_ms = 1e9;
//! Requests below 2 to this power bytes have the same order of magnitude.
constexpr int smallest_size_bits = 10;
//! Powers of two that are one order of magnitude of a request's size.
constexpr int bits_per_size_class = 3;

double limited_change(double sample, double average)
{
    return std::clamp(sample - average, -max_log_change, max_log_change);
}
} // namespace

std::uint64_t call_kind(std::string_view group, std::uint64_t request_bytes)
{
    const int bits = std::max(
        static_cast<int>(std::bit_width(request_bytes)), smallest_size_bits);
    const auto size_class = static_cast<std::uint64_t>(
        (bits - smallest_size_bits + bits_per_size_class - 1) /
        bits_per_size_class);
    return std::max<std::uint64_t>(base::hash(group, size_class), 1);
}

double server_slowness::factor() const
{
    return this->current_factor;
}

void server_slowness::on_ratio(double ratio)
{
    this->log_factor +=
        slowness_weight * limited_change(std::log(ratio), this->log_factor);
    this->log_factor *= 1 - slowness_decay;
    this->current_factor = std::exp(this->log_factor);
}

call_cost::work_distribution::work_distribution()
    : buckets(
          std::make_tuple(axis(bucket_count, min_ms, max_ms)),
          boost::histogram::dense_storage<float>())
{
}

void call_cost::work_distribution::add(double work_ms)
{
    this->buckets(work_ms);
    ++this->samples;
    this->weight += 1;
    this->sum += work_ms;
    if (this->samples == 1)
    {
        this->log_typical = std::log(work_ms);
    }
    const double weight = std::max(
        typical_weight, std::min(1.0, 2 / static_cast<double>(this->samples)));
    this->log_typical +=
        weight * limited_change(std::log(work_ms), this->log_typical);
    if (this->samples % decay_interval == 0)
    {
        constexpr double half = 0.5;
        this->buckets *= half;
        this->weight *= half;
        this->sum *= half;
    }
}

double call_cost::work_distribution::mean() const
{
    return this->weight > 0 ? this->sum / this->weight : 0;
}

double call_cost::work_distribution::typical() const
{
    return std::exp(this->log_typical);
}

call_cost::call_cost() = default;

const call_cost::work_distribution&
call_cost::distribution(std::uint64_t kind) const
{
    const auto found = this->kinds.find(kind);
    const bool known =
        found != this->kinds.end() && found->second.samples >= min_samples;
    return known ? found->second : this->all;
}

call_cost::work_distribution&
call_cost::distribution_to_update(std::uint64_t kind)
{
    const auto found = this->kinds.find(kind);
    if (found != this->kinds.end())
    {
        return found->second;
    }
    if (this->kinds.size() >= max_kinds)
    {
        const auto oldest = std::min_element(
            this->kinds.begin(), this->kinds.end(),
            [](const auto& a, const auto& b)
            { return a.second.last_used < b.second.last_used; });
        this->kinds.erase(oldest);
    }
    return this->kinds[kind];
}

double call_cost::expected_ms(std::uint64_t kind) const
{
    return this->distribution(kind).mean();
}

double call_cost::expected_rest_ms(std::uint64_t kind, double done_ms) const
{
    const auto& known = this->distribution(kind);
    if (done_ms < min_ms)
    {
        return known.mean();
    }
    const auto& scale = known.buckets.axis(0);
    double weight = 0;
    double rest = 0;
    for (int i = scale.size() - 1; i >= 0 && scale.value(i + 1) > done_ms; --i)
    {
        const double lower = std::max(scale.value(i), done_ms);
        const double width = scale.value(i + 1) - scale.value(i);
        // Part of the bucket that lies beyond the work done.
        const double part = (scale.value(i + 1) - lower) / width;
        const double middle = (lower + scale.value(i + 1)) / 2;
        weight += part * known.buckets.at(i);
        rest += part * known.buckets.at(i) * (middle - done_ms);
    }
    // Less than this many calls of the kind say nothing about such an age.
    constexpr double min_weight = 0.5;
    return weight < min_weight ? done_ms : rest / weight;
}

void call_cost::on_served(
    std::uint64_t kind, base::duration_ms service_time,
    server_slowness& slowness)
{
    const double service =
        std::max(static_cast<double>(service_time.count), min_ms);
    auto& known = this->distribution_to_update(kind);
    known.last_used = ++this->served;
    const bool comparable = known.samples >= min_typical_samples;
    const double work = std::max(service / slowness.factor(), min_ms);
    if (comparable)
    {
        slowness.on_ratio(service / known.typical());
    }
    known.add(work);
    this->all.add(work);
}

call_work outstanding_work::on_wait(std::uint64_t kind)
{
    const call_work call{kind, this->costs.expected_ms(kind)};
    this->waiting_ms += call.expected_ms;
    return call;
}

void outstanding_work::on_wait_end(call_work& call)
{
    // Rounding must not leave a negative sum.
    this->waiting_ms = std::max(this->waiting_ms - call.expected_ms, 0.0);
    call.expected_ms = 0;
}

void outstanding_work::on_start(
    std::uint64_t id, call_work& call, base::time_ms now)
{
    this->on_wait_end(call);
    this->running.push_back({id, call.kind, now});
}

void outstanding_work::on_end(std::uint64_t id)
{
    const auto found = std::find_if(
        this->running.begin(), this->running.end(),
        [&](const auto& call) { return call.id == id; });
    if (found != this->running.end())
    {
        *found = this->running.back();
        this->running.pop_back();
    }
}

void outstanding_work::on_served(
    std::uint64_t kind, base::duration_ms service_time)
{
    this->costs.on_served(kind, service_time, this->slowness);
}

double outstanding_work::left_ms(std::uint32_t slots, base::time_ms now) const
{
    const double slowness = this->slowness.factor();
    double work_ms = this->waiting_ms;
    for (const auto& call : this->running)
    {
        const auto age = static_cast<double>((now - call.started).count);
        work_ms += this->costs.expected_rest_ms(call.kind, age / slowness);
    }
    return std::min(work_ms * slowness / std::max(slots, 1U), max_left_ms);
}
} // namespace bilberrytally::decisions
