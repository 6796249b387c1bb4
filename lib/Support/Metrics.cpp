#include "basilpoint/Support/Metrics.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>

namespace basilpoint {

namespace histogram = boost::histogram;

// Bucket bounds double from 0.1 ms to about 14 minutes.
static constexpr unsigned bucketCount = 23;
static constexpr double minSeconds = 0.0001;
static constexpr double maxSeconds = minSeconds * (1U << bucketCount);

using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;

struct Metrics::Histogram {
    decltype(histogram::make_histogram(LogAxis())) buckets = histogram::make_histogram(LogAxis(bucketCount, minSeconds, maxSeconds));
    double sum = 0;
};

Metrics::Metrics() = default;

Metrics::~Metrics() = default;

void Metrics::observe(const std::string& name, std::chrono::nanoseconds duration)
{
    auto& entry = m_histograms[name];
    if (!entry)
        entry = std::make_unique<Histogram>();
    double seconds = std::chrono::duration<double>(duration).count();
    entry->buckets(seconds);
    entry->sum += seconds;
}

static std::string typeComment(const std::string& name, const char* type)
{
    return fmt::format("# TYPE {} {}\n", name.substr(0, name.find('{')), type);
}

std::string Metrics::render() const
{
    std::string text;
    std::string family;
    for (const auto& [name, value] : m_counters) {
        if (family != name.substr(0, name.find('{')))
            text += typeComment(name, "counter");
        family = name.substr(0, name.find('{'));
        text += fmt::format("{} {}\n", name, value);
    }
    for (const auto& [name, value] : m_gauges)
        text += typeComment(name, "gauge") + fmt::format("{} {}\n", name, value);
    for (const auto& [name, it] : m_histograms) {
        text += typeComment(name, "histogram");
        double total = 0;
        // Prometheus buckets are cumulative: the underflow bin is included in all, the overflow bin only in +Inf.
        for (auto&& bin : histogram::indexed(it->buckets, histogram::coverage::all)) {
            total += *bin;
            bool last = bin.index(0) >= static_cast<int>(bucketCount);
            if (last)
                text += fmt::format("{}_bucket{{le=\"+Inf\"}} {}\n", name, total);
            else
                text += fmt::format("{}_bucket{{le=\"{:g}\"}} {}\n", name, bin.bin(0).upper(), total);
        }
        text += fmt::format("{}_sum {}\n{}_count {}\n", name, it->sum, name, total);
    }
    return text;
}

} // namespace basilpoint
