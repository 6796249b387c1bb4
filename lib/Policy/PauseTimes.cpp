#include "basilpoint/Policy/PauseTimes.h"

#include <algorithm>

namespace basilpoint {

static constexpr unsigned binCount = 36;
static constexpr double shortestSeconds = 0.05;
static constexpr double longestSeconds = 3'600;
// At this number of samples all counts are halved, so that the distribution follows changes of the tool.
static constexpr double maxSamples = 1'000;
// Weight of the prior, in samples.
static constexpr double priorSamples = 4;
// Pauses of further tools are not recorded.
static constexpr std::size_t maxTools = 4'096;

PauseTimes::Tool::Tool()
    : histogram(boost::histogram::make_histogram(Axis(binCount, shortestSeconds, longestSeconds)))
{
}

void PauseTimes::add(const std::string& tool, Milliseconds pause)
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

std::vector<PauseTimes::Bin> PauseTimes::distribution(const std::string& tool) const
{
    auto it = m_tools.find(tool);
    double samples = it == m_tools.end() ? 0 : it->second.samples;
    Axis axis(binCount, shortestSeconds, longestSeconds);
    std::vector<Bin> result;
    for (int n = 0; n < static_cast<int>(binCount); ++n) {
        double seen = it == m_tools.end() ? 0 : static_cast<double>(it->second.histogram.at(n));
        result.push_back({ axis.bin(n).upper(), (seen + priorSamples / binCount) / (samples + priorSamples) });
    }
    return result;
}

} // namespace basilpoint
