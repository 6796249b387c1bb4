#include "basilpoint/Policy/CacheRetention.h"

#include <algorithm>

namespace basilpoint {

// Retaining a cache for this time in full memory costs about as much as recomputing it.
static constexpr double breakEvenRetentionSeconds = 60;
// Below this use of the memory, idle caches are retained at the minimum cost.
static constexpr double pressureThreshold = 0.5;
static constexpr double minPressure = 0.1;

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
        m_pauseTimes.add(node.mapped().tool, std::chrono::duration_cast<Milliseconds>(now - node.mapped().since));
}

static double memoryPressure(double cacheUse)
{
    return std::max(minPressure, (cacheUse - pressureThreshold) / (1 - pressureThreshold));
}

Milliseconds CacheRetention::retentionTime(const std::string& tool, double latencyWeight, double cacheWeight, double cacheUse) const
{
    // Costs are in units of one recomputation of the cache. Memory cost and recomputation cost are both
    // proportional to the cached tokens, so the number of tokens cancels out.
    double costPerSecond = cacheWeight / std::max(0.01, latencyWeight) * memoryPressure(cacheUse) / breakEvenRetentionSeconds;
    double maxSeconds = std::chrono::duration<double>(m_maxIdle).count();
    double expectedRetentionSeconds = 0;
    double stillPausedShare = 1;
    double previousSeconds = 0;
    double lowestCost = 1;
    double bestSeconds = 0;
    for (const PauseTimes::Bin& bin : m_pauseTimes.distribution(tool)) {
        if (bin.seconds > maxSeconds)
            break;
        expectedRetentionSeconds += stillPausedShare * (bin.seconds - previousSeconds);
        stillPausedShare -= bin.share;
        previousSeconds = bin.seconds;
        double cost = stillPausedShare + expectedRetentionSeconds * costPerSecond;
        if (cost >= lowestCost)
            continue;
        lowestCost = cost;
        bestSeconds = bin.seconds;
    }
    return Milliseconds(static_cast<Milliseconds::rep>(bestSeconds * 1'000));
}

void CacheRetention::sweep(TimePoint now)
{
    std::erase_if(m_pauses, [&](const auto& entry) { return now - entry.second.since > 2 * m_maxIdle; });
}

} // namespace basilpoint
