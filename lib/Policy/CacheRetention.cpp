#include "basilpoint/Policy/CacheRetention.h"

#include <algorithm>

namespace basilpoint {

// Holding a cache for so long in full memory costs about as much as computing it again.
static constexpr double breakEvenSeconds = 60;
// Memory that is less full than this has room for idle caches at little cost.
static constexpr double freeCacheUse = 0.5;
static constexpr double idleMemoryCost = 0.1;

CacheRetention::CacheRetention(Milliseconds maxIdle)
    : m_maxIdle(maxIdle)
{
}

void CacheRetention::pauseStarted(const ProgramId& program, const std::string& tool, TimePoint now)
{
    auto [it, isNew] = m_pauses.try_emplace(program, Pause { tool, now });
    if (!isNew)
        it->second.tool = tool;
}

void CacheRetention::pauseEnded(const ProgramId& program, TimePoint now)
{
    auto node = m_pauses.extract(program);
    if (!node.empty())
        m_times.ended(node.mapped().tool, std::chrono::duration_cast<Milliseconds>(now - node.mapped().since));
}

static double pressure(double cacheUse)
{
    return std::max(idleMemoryCost, (cacheUse - freeCacheUse) / (1 - freeCacheUse));
}

Milliseconds CacheRetention::holdTime(const std::string& tool, double latencyWeight, double cacheWeight, double cacheUse) const
{
    // Both costs are proportional to the cached tokens, so these cancel out. In units of one recomputation:
    double holdCost = cacheWeight / std::max(0.01, latencyWeight) * pressure(cacheUse) / breakEvenSeconds;
    double longest = std::chrono::duration<double>(m_maxIdle).count();
    double heldSeconds = 0;
    double stillPaused = 1;
    double previous = 0;
    double best = 1;
    double bestSeconds = 0;
    for (const PauseTimes::Part& part : m_times.distribution(tool)) {
        if (part.seconds > longest)
            break;
        heldSeconds += stillPaused * (part.seconds - previous);
        stillPaused -= part.share;
        previous = part.seconds;
        double cost = stillPaused + heldSeconds * holdCost;
        if (cost >= best)
            continue;
        best = cost;
        bestSeconds = part.seconds;
    }
    return Milliseconds(static_cast<Milliseconds::rep>(bestSeconds * 1'000));
}

void CacheRetention::sweep(TimePoint now)
{
    std::erase_if(m_pauses, [&](const auto& entry) { return now - entry.second.since > 2 * m_maxIdle; });
}

} // namespace basilpoint
