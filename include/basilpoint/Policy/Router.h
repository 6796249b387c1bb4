#pragma once

#include "basilpoint/Policy/CacheMap.h"
#include "basilpoint/Policy/ReplicaSet.h"
#include "basilpoint/Support/Random.h"

namespace basilpoint {

/// Parameters of routing.
struct RouterSettings {
    double prefillTokensPerSecond = 20'000;
    /// Replicas sampled per call, in addition to those that cache the program's prefix.
    unsigned sampledCandidates = 4;
    /// Largest number of open replicas that are all compared instead of sampled.
    unsigned compareAllUpTo = 8;
};

/// Attributes of a call that determine its route.
struct RouteRequest {
    ProgramId program;
    std::string model;
    TokenCount promptTokens = 0;
    double cacheWeight = 0.3;
    /// Whether the call may wait for a busy replica that caches its prefix.
    bool mayWait = true;
    /// Whether the call may go to a replica that has to evict other caches for it.
    bool mayEvict = false;
};

/// Routing decision for one call.
struct Route {
    enum class Kind {
        Dispatch,
        /// Wait for the replica that caches the prefix.
        WaitForCache,
        /// Each candidate would have to evict other caches.
        NoMemory,
        /// No replica of the model accepts calls.
        NoOpenReplica,
    };
    Kind kind = Kind::NoOpenReplica;
    ReplicaIndex replica = 0;
    /// Cost of recomputing the prefix elsewhere, which is the longest worthwhile wait; set for WaitForCache.
    Milliseconds maxWait { 0 };
};

/// Picks the replica with the lowest estimated cost of recomputed prefix and load.
class Router {
public:
    Router(RouterSettings, const ReplicaSet&, const CacheMap&, RandomEngine::result_type seed);

    Route route(const RouteRequest&);

    /// Tokens of the prompt that the replica is expected to compute.
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
