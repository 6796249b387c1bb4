#pragma once

#include "basilpoint/Support/Clock.h"

#include <boost/histogram.hpp>

namespace basilpoint::bench {

/// Histogram of latencies from 1 us to 1,000 s with a resolution of about 1%.
class LatencyHistogram {
public:
    LatencyHistogram();

    void add(std::chrono::nanoseconds latency);

    std::size_t count() const { return m_count; }

    /// Latency in milliseconds below which the fraction \p quantile of the samples lies; 0 without samples.
    double quantileMilliseconds(double quantile) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    boost::histogram::histogram<std::tuple<Axis>> m_bins;
    std::size_t m_count = 0;
};

} // namespace basilpoint::bench
