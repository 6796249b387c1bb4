#pragma once

#include "basilpoint/Support/Clock.h"

#include <map>
#include <memory>
#include <string>

namespace basilpoint {

/// Counters, gauges and latency histograms of one process, in Prometheus text format.
class Metrics {
public:
    Metrics();
    ~Metrics();

    /// Adds \p n to counter \p name. Labels are part of the name, as in requests_total{status="200"}.
    void count(const std::string& name, std::uint64_t n = 1) { m_counters[name] += n; }

    /// Counters by name.
    const std::map<std::string, std::uint64_t>& counters() const { return m_counters; }

    void gauge(const std::string& name, double value) { m_gauges[name] = value; }

    /// Adds a sample to histogram \p name.
    void observe(const std::string& name, std::chrono::nanoseconds duration);

    /// \returns all metrics in Prometheus text exposition format, version 0.0.4.
    std::string render() const;

private:
    struct Histogram;

    std::map<std::string, std::uint64_t> m_counters;
    std::map<std::string, double> m_gauges;
    std::map<std::string, std::unique_ptr<Histogram>> m_histograms;
};

} // namespace basilpoint
