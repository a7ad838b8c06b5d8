#include "decisions/latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace bilberrytally::decisions
{
namespace
{
//! Range of the histogram and number of its buckets, on a logarithmic scale.
constexpr double min_ms = 1;
constexpr double max_ms = 1e6;
constexpr unsigned bucket_count = 120;
//! All weights are halved after each of this many samples.
constexpr std::uint64_t decay_interval = 256;
//! Weight of a new sample in the moving average.
constexpr double mean_weight = 0.05;
} // namespace

latency_histogram::latency_histogram()
    : buckets(
          std::make_tuple(axis(bucket_count, min_ms, max_ms)),
          boost::histogram::dense_storage<double>())
{
}

void latency_histogram::add(base::duration_ms sample)
{
    const double value = std::max(static_cast<double>(sample.count), min_ms);
    this->buckets(value);
    this->recent_mean =
        this->samples == 0
            ? value
            : this->recent_mean + mean_weight * (value - this->recent_mean);
    ++this->samples;
    if (this->samples % decay_interval == 0)
    {
        this->buckets *= 0.5;
    }
}

base::duration_ms latency_histogram::quantile(double share) const
{
    double total = 0;
    for (const double weight : this->buckets)
    {
        total += weight;
    }
    double cumulative = 0;
    const auto& scale = this->buckets.axis(0);
    for (int i = 0; total > 0 && i < scale.size(); ++i)
    {
        cumulative += this->buckets.at(i);
        if (cumulative >= share * total)
        {
            return {static_cast<std::int64_t>(std::lround(scale.value(i)))};
        }
    }
    return {0};
}

double latency_histogram::mean() const
{
    return this->recent_mean;
}

std::uint64_t latency_histogram::count() const
{
    return this->samples;
}
} // namespace bilberrytally::decisions
