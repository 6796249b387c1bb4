#include "basilpoint/Policy/Router.h"

#include <algorithm>
#include <limits>

namespace basilpoint {

// Part of a call's time by which a full batch slows it against an empty one.
static constexpr double batchSlowdown = 0.5;
// Seconds added to a replica whose load is not known, so that a known one with equal load goes first.
static constexpr double stalePenaltySeconds = 0.2;
// Prefill holds up the other calls of the batch, so a recomputed token costs more than its own time.
static constexpr double recomputeWeight = 2;
static constexpr double recomputeWeightByCacheWeight = 4;
// Part of the cached tokens below which a wait for them isn't worth the bookkeeping.
static constexpr double worthwhileSeconds = 0.05;

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
    return m_replicas.at(index).room.fits(m_caches.heldAt(index), request.promptTokens);
}

double Router::costOf(const RouteRequest& request, ReplicaIndex index) const
{
    const Replica& replica = m_replicas.at(index);
    double prefill = static_cast<double>(uncachedTokens(request, index)) / m_settings.prefillTokensPerSecond;
    double load = static_cast<double>(replica.load.total()) / std::max(1U, replica.limit.value());
    double cost = prefill * recomputeFactor(request) + load * batchSlowdown * std::max(1.0, replica.meanSeconds);
    if (!replica.load.isReported())
        cost += stalePenaltySeconds;
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
    for (const CacheEntry& entry : m_caches.of(request.program)) {
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
    for (const CacheEntry& entry : m_caches.of(request.program)) {
        if (!m_replicas.contains(entry.replica))
            continue;
        const Replica& home = m_replicas.at(entry.replica);
        if (home.accepts() || home.leaving || home.ejected || home.isolated || home.model != request.model)
            continue;
        TokenCount here = uncachedTokens(request, entry.replica);
        if (here >= elsewhere)
            continue;
        double worth = static_cast<double>(elsewhere - here) / m_settings.prefillTokensPerSecond * recomputeFactor(request);
        double wait = std::max(0.1, home.meanSeconds) * (home.parked + 1) / std::max(1U, home.limit.value());
        if (worth < worthwhileSeconds || wait >= worth)
            continue;
        return Route { Route::Kind::WaitForCache, entry.replica, Milliseconds(static_cast<Milliseconds::rep>(worth * 1'000)) };
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
        return { m_replicas.open(request.model).empty() ? Route::Kind::NoRoom : Route::Kind::NoMemory, 0, Milliseconds(0) };
    return { Route::Kind::Dispatch, *best, Milliseconds(0) };
}

} // namespace basilpoint
