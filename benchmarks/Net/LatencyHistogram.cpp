#include "LatencyHistogram.h"

#include <algorithm>

namespace basilpoint::bench {

static constexpr unsigned binCount = 2'048;
static constexpr double shortestMilliseconds = 1e-3;
static constexpr double longestMilliseconds = 1e6;

LatencyHistogram::LatencyHistogram()
    : m_bins(boost::histogram::make_histogram(Axis(binCount, shortestMilliseconds, longestMilliseconds)))
{
}

void LatencyHistogram::add(std::chrono::nanoseconds latency)
{
    double milliseconds = std::chrono::duration<double, std::milli>(latency).count();
    m_bins(std::clamp(milliseconds, shortestMilliseconds, longestMilliseconds * (1 - 1e-9)));
    ++m_count;
}

double LatencyHistogram::quantileMilliseconds(double quantile) const
{
    double remaining = quantile * static_cast<double>(m_count);
    for (auto&& bin : boost::histogram::indexed(m_bins)) {
        remaining -= static_cast<double>(*bin);
        if (remaining <= 0 && *bin > 0)
            return bin.bin().upper();
    }
    return 0;
}

} // namespace basilpoint::bench
