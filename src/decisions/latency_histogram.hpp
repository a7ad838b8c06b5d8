#pragma once

#include "base/time.hpp"

#include <boost/histogram.hpp>

#include <vector>

namespace bilberrytally::decisions
{
//! Distribution of recent durations. Older samples lose weight.
class latency_histogram
{
public:
    latency_histogram();

    //! Adds a sample; samples below 1 ms count as 1 ms.
    void add(base::duration_ms sample);

    //! Quantile \p share (0 to 1), to the precision of a bucket; 0 ms while
    //! there are no samples.
    base::duration_ms quantile(double share) const;

    //! Exponential moving average of the samples in ms; 0 while there are none.
    double mean() const;

    //! Number of samples since the start; does not decay.
    std::uint64_t count() const;

private:
    using axis = boost::histogram::axis::regular<
        double, boost::histogram::axis::transform::log>;
    using histogram = boost::histogram::histogram<
        std::tuple<axis>, boost::histogram::dense_storage<double>>;

    histogram buckets;
    std::uint64_t samples{0};
    double recent_mean{0};
};
} // namespace bilberrytally::decisions
