#pragma once

#include "base/time.hpp"

#include <boost/histogram.hpp>

#include <vector>

namespace bilberrytally::decisions
{
//! Recent distribution of a duration; old samples lose weight.
class latency_histogram
{
public:
    latency_histogram();

    void add(base::duration_ms sample);

    //! Quantile \p share (0 to 1) in ms; 0 while there are no samples.
    base::duration_ms quantile(double share) const;

    //! Mean in ms of recent samples.
    double mean() const;

    //! Samples since the start, without decay.
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
