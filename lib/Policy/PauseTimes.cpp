#include "basilpoint/Policy/PauseTimes.h"

#include <algorithm>

namespace basilpoint {

static constexpr unsigned bins = 36;
static constexpr double shortestSeconds = 0.05;
static constexpr double longestSeconds = 3'600;
// With so many samples the older half of the knowledge is dropped, so that a tool may change.
static constexpr double maxSamples = 1'000;
// Weight of the prior, in samples, and of the tools that are told apart.
static constexpr double priorSamples = 4;
static constexpr std::size_t maxTools = 4'096;

PauseTimes::Tool::Tool()
    : histogram(boost::histogram::make_histogram(Axis(bins, shortestSeconds, longestSeconds)))
{
}

void PauseTimes::ended(const std::string& tool, Milliseconds pause)
{
    if (m_tools.size() >= maxTools && !m_tools.contains(tool))
        return;
    Tool& known = m_tools[tool];
    if (known.samples >= maxSamples) {
        known.histogram *= 0.5;
        known.samples *= 0.5;
    }
    double seconds = std::clamp(std::chrono::duration<double>(pause).count(), shortestSeconds, longestSeconds * 0.99);
    known.histogram(seconds);
    known.samples += 1;
}

std::vector<PauseTimes::Part> PauseTimes::distribution(const std::string& tool) const
{
    auto it = m_tools.find(tool);
    double samples = it == m_tools.end() ? 0 : it->second.samples;
    Axis axis(bins, shortestSeconds, longestSeconds);
    std::vector<Part> parts;
    for (int n = 0; n < static_cast<int>(bins); ++n) {
        double seen = it == m_tools.end() ? 0 : static_cast<double>(it->second.histogram.at(n));
        parts.push_back({ axis.bin(n).upper(), (seen + priorSamples / bins) / (samples + priorSamples) });
    }
    return parts;
}

} // namespace basilpoint
