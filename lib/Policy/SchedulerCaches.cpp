// The part of the scheduler that retains, releases and moves caches between calls.

#include "SchedulerState.h"

namespace basilpoint {

// Caches moved from one leaving replica; further ones are recomputed when needed.
static constexpr std::size_t maxMoves = 64;
// A cache of fewer tokens is cheaper to recompute than to move.
static constexpr TokenCount minMovedTokens = 1'024;

void SchedulerState::applyRetention(const ProgramId& program, const std::string& tool, TimePoint now)
{
    const auto& entries = m_caches.entriesOf(program);
    if (entries.empty())
        return;
    double cacheUse = 0;
    for (const CacheEntry& entry : entries)
        cacheUse = std::max(cacheUse, m_replicas.at(entry.replica).cacheUse);
    auto weights = m_costWeights.find(program);
    double latencyWeight = weights == m_costWeights.end() ? ModelCall().latencyWeight : weights->second.latency;
    double cacheWeight = weights == m_costWeights.end() ? ModelCall().cacheWeight : weights->second.cache;
    Milliseconds retention = m_retention.retentionTime(tool, latencyWeight, cacheWeight, cacheUse);
    if (retention > Milliseconds(0))
        m_caches.setExpiry(program, now + retention);
    else
        releaseAll(program);
}

void SchedulerState::releaseAll(const ProgramId& program)
{
    for (const CacheEntry& entry : m_caches.take(program))
        release(program, entry);
}

void SchedulerState::release(const ProgramId& program, const CacheEntry& entry)
{
    if (m_replicas.contains(entry.replica))
        m_actions.emplace_back(ReleaseCacheAction { program, m_replicas.at(entry.replica).id });
}

void SchedulerState::toolStarted(const ProgramId& program, const std::string& tool, TimePoint now)
{
    m_retention.pauseStarted(program, tool, now);
    applyRetention(program, tool, now);
}

void SchedulerState::toolEnded(const ProgramId& program, TimePoint now)
{
    m_retention.pauseEnded(program, now);
    // The next call is expected at once.
    m_retention.pauseStarted(program, {}, now);
    m_caches.setExpiry(program, now + m_settings.maxCacheIdle);
}

void SchedulerState::programEnded(const ProgramId& program, TimePoint)
{
    releaseAll(program);
    m_retention.forget(program);
    m_costWeights.erase(program);
    for (auto& [model, state] : m_models) {
        state.service.forget(program);
        state.backoff.forget(program);
    }
}

void SchedulerState::targetLeaving(const TargetId& target, TimePoint now)
{
    auto replica = m_replicas.find(target);
    if (!replica || m_replicas.at(*replica).leaving)
        return;
    m_replicas.update(*replica, [](Replica& changed) { changed.leaving = true; });
    moveCachesFrom(*replica);
    dispatchWaiting(m_replicas.at(*replica).model, now);
}

void SchedulerState::moveCachesFrom(ReplicaIndex from)
{
    const Replica& source = m_replicas.at(from);
    std::size_t moves = 0;
    for (const ProgramId& program : m_caches.programsAt(from)) {
        for (CacheEntry entry : std::vector<CacheEntry>(m_caches.entriesOf(program))) {
            if (entry.replica != from || entry.tokens < minMovedTokens || entry.uncertain || moves == maxMoves)
                continue;
            Route route = m_router.route({ ProgramId(), source.model, entry.tokens, 0, false });
            if (route.kind != Route::Kind::Dispatch)
                return;
            ++moves;
            m_caches.erase(program, from);
            m_caches.put(program, route.replica, entry.tokens, entry.expiresAt);
            m_actions.emplace_back(MoveCacheAction { program, source.id, m_replicas.at(route.replica).id });
        }
    }
}

} // namespace basilpoint
