#pragma once

#include "basilpoint/Policy/CacheMap.h"
#include "basilpoint/Policy/ReplicaSet.h"
#include "basilpoint/Support/Random.h"

namespace basilpoint {

/// Costs that routing compares.
struct RouterSettings {
    double prefillTokensPerSecond = 20'000;
    /// Replicas compared per call, beside the ones that hold the program's cache.
    unsigned sampledCandidates = 4;
    /// A pool of up to this many open replicas is compared whole.
    unsigned compareAllUpTo = 8;
};

/// What routing asks of a call.
struct RouteRequest {
    ProgramId program;
    std::string model;
    TokenCount promptTokens = 0;
    double cacheWeight = 0.3;
    /// Whether the call may wait for the replica that holds its cache, or for room in a replica's memory.
    bool mayWait = true;
    /// Whether the call may take memory that holds other caches.
    bool mayEvict = false;
};

/// Where a call goes, or which replica it had better wait for.
struct Route {
    enum class Kind {
        Dispatch,
        WaitForCache,
        /// Every replica that was looked at would have to evict caches in use.
        NoMemory,
        NoRoom,
    };
    Kind kind = Kind::NoRoom;
    ReplicaIndex replica = 0;
    /// Longest wait that the cache is worth; set for WaitForCache.
    Milliseconds patience { 0 };
};

/// Picks the replica with the least expected time to the answer.
class Router {
public:
    Router(RouterSettings, const ReplicaSet&, const CacheMap&, RandomEngine::result_type seed);

    Route route(const RouteRequest&);

    /// Tokens of the prompt that the replica has to compute.
    TokenCount uncachedTokens(const RouteRequest&, ReplicaIndex) const;

private:
    bool hasMemory(const RouteRequest&, ReplicaIndex) const;
    double costOf(const RouteRequest&, ReplicaIndex) const;
    std::optional<ReplicaIndex> bestOpen(const RouteRequest&);
    std::optional<Route> waitForCache(const RouteRequest&, const std::optional<ReplicaIndex>& best) const;

    RouterSettings m_settings;
    const ReplicaSet& m_replicas;
    const CacheMap& m_caches;
    RandomEngine m_random;
};

} // namespace basilpoint
