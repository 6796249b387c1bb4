#include "basilpoint/Policy/Router.h"

#include <algorithm>
#include <limits>

namespace basilpoint {

// Slowdown of a call in a full batch against an empty one, as a share of the call's mean time.
static constexpr double fullBatchSlowdown = 0.5;
// Cost added to a replica without a recent load report, so that a reported one with equal load is preferred.
static constexpr double unknownLoadPenaltySeconds = 0.2;
// Prefill delays the other calls of the batch, so a recomputed token costs more than its own prefill time.
static constexpr double recomputeWeight = 2;
static constexpr double recomputeWeightByCacheWeight = 4;
// Saved recomputation cost below which waiting for a cached prefix is not worth the bookkeeping.
static constexpr double minSavingSeconds = 0.05;

Router::Router(RouterSettings settings, const ReplicaSet& replicas, const CacheMap& caches, RandomEngine::result_type seed)
    : m_settings(settings)
    , m_replicas(replicas)
    , m_caches(caches)
    , m_random(seed)
{
}

static double recomputeFactor(const RouteRequest& request)
{
    return recomputeWeight + recomputeWeightByCacheWeight * request.cacheWeight;
}

TokenCount Router::uncachedTokens(const RouteRequest& request, ReplicaIndex replica) const
{
    return request.promptTokens - std::min(request.promptTokens, m_caches.expectedTokens(request.program, replica));
}

bool Router::hasMemory(const RouteRequest& request, ReplicaIndex index) const
{
    if (m_caches.expectedTokens(request.program, index) > 0)
        return true;
    return m_replicas.at(index).cacheCapacity.fits(m_caches.tokensAt(index), request.promptTokens);
}

double Router::costOf(const RouteRequest& request, ReplicaIndex index) const
{
    const Replica& replica = m_replicas.at(index);
    double prefill = static_cast<double>(uncachedTokens(request, index)) / m_settings.prefillTokensPerSecond;
    double load = static_cast<double>(replica.load.total()) / std::max(1U, replica.limit.value());
    double cost = prefill * recomputeFactor(request) + load * fullBatchSlowdown * std::max(1.0, replica.meanSeconds);
    if (!replica.load.isReported())
        cost += unknownLoadPenaltySeconds;
    return cost;
}

std::optional<ReplicaIndex> Router::bestOpen(const RouteRequest& request)
{
    const auto& open = m_replicas.open(request.model);
    double bestCost = std::numeric_limits<double>::max();
    std::optional<ReplicaIndex> best;
    auto consider = [&](ReplicaIndex index) {
        if (!request.mayEvict && !hasMemory(request, index))
            return;
        double cost = costOf(request, index);
        if (cost >= bestCost)
            return;
        bestCost = cost;
        best = index;
    };
    for (const CacheEntry& entry : m_caches.entriesOf(request.program)) {
        if (m_replicas.contains(entry.replica) && m_replicas.at(entry.replica).accepts() && m_replicas.at(entry.replica).model == request.model)
            consider(entry.replica);
    }
    if (open.size() <= m_settings.compareAllUpTo) {
        std::for_each(open.begin(), open.end(), consider);
        return best;
    }
    std::uniform_int_distribution<std::size_t> draw(0, open.size() - 1);
    for (unsigned n = 0; n < m_settings.sampledCandidates; ++n)
        consider(open[draw(m_random)]);
    return best;
}

std::optional<Route> Router::waitForCache(const RouteRequest& request, const std::optional<ReplicaIndex>& best) const
{
    TokenCount elsewhere = best ? uncachedTokens(request, *best) : request.promptTokens;
    for (const CacheEntry& entry : m_caches.entriesOf(request.program)) {
        if (!m_replicas.contains(entry.replica))
            continue;
        const Replica& cacheReplica = m_replicas.at(entry.replica);
        if (cacheReplica.accepts() || cacheReplica.leaving || cacheReplica.ejected || cacheReplica.isolated || cacheReplica.model != request.model)
            continue;
        TokenCount here = uncachedTokens(request, entry.replica);
        if (here >= elsewhere)
            continue;
        double saving = static_cast<double>(elsewhere - here) / m_settings.prefillTokensPerSecond * recomputeFactor(request);
        double wait = std::max(0.1, cacheReplica.meanSeconds) * (cacheReplica.cacheWaiters + 1) / std::max(1U, cacheReplica.limit.value());
        if (saving < minSavingSeconds || wait >= saving)
            continue;
        return Route { Route::Kind::WaitForCache, entry.replica, Milliseconds(static_cast<Milliseconds::rep>(saving * 1'000)) };
    }
    return std::nullopt;
}

Route Router::route(const RouteRequest& request)
{
    std::optional<ReplicaIndex> best = bestOpen(request);
    if (request.mayWait) {
        if (auto waiting = waitForCache(request, best))
            return *waiting;
    }
    if (!best)
        return { m_replicas.open(request.model).empty() ? Route::Kind::NoOpenReplica : Route::Kind::NoMemory, 0, Milliseconds(0) };
    return { Route::Kind::Dispatch, *best, Milliseconds(0) };
}

} // namespace basilpoint
