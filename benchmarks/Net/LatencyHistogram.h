#pragma once

#include "basilpoint/Support/Clock.h"

#include <boost/histogram.hpp>

namespace basilpoint::bench {

/// Latencies from 1 us to 1,000 s with about 1% of resolution.
class LatencyHistogram {
public:
    LatencyHistogram();

    void add(std::chrono::nanoseconds latency);

    std::size_t count() const { return m_count; }

    /// Latency in milliseconds below which the part \p quantile of all lies; 0 if there is none.
    double quantileMilliseconds(double quantile) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    boost::histogram::histogram<std::tuple<Axis>> m_bins;
    std::size_t m_count = 0;
};

} // namespace basilpoint::bench
