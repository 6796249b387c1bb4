#pragma once

#include "basilpoint/Policy/CacheCapacity.h"
#include "basilpoint/Policy/ConcurrencyLimit.h"
#include "basilpoint/Policy/LoadEstimate.h"
#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Ids.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace basilpoint {

/// Number of a replica within one process; never reused.
using ReplicaIndex = std::uint32_t;

/// State of one engine replica.
struct Replica {
    Replica(const TargetId& target, const std::string& servedModel, unsigned maxRunning)
        : id(target)
        , model(servedModel)
        , limit(maxRunning)
    {
    }

    TargetId id;
    std::string model;
    LoadEstimate load;
    ConcurrencyLimit limit;
    CacheCapacity cacheCapacity;
    /// Own calls that wait for this replica because it caches their prefix.
    unsigned cacheWaiters = 0;
    /// Share of cache memory in use by the last report, from 0 to 1.
    double cacheUse = 0;
    /// Moving average of the time from dispatch to end of a call.
    double meanSeconds = 0;
    bool leaving = false;
    bool ejected = false;
    /// Reserved for suspect calls, one at a time.
    bool isolated = false;

    /// Whether one more call may be dispatched to the replica.
    bool accepts() const { return !leaving && !ejected && !isolated && load.total() < limit.value(); }

private:
    friend class ReplicaSet;
    /// Index in the pool's list of open replicas.
    std::optional<std::size_t> m_openPosition;
};

/// The replicas of all models, with an index of those that accept calls (open ones).
class ReplicaSet {
public:
    ReplicaIndex add(const TargetId&, const std::string& model, unsigned limit);
    void remove(ReplicaIndex);

    std::optional<ReplicaIndex> find(const TargetId&) const;
    const Replica& at(ReplicaIndex index) const { return m_replicas.at(index); }
    bool contains(ReplicaIndex index) const { return m_replicas.contains(index); }

    /// Applies \p change to the replica and updates the index of open replicas.
    template <typename Change>
    void update(ReplicaIndex index, Change&& change)
    {
        Replica& replica = m_replicas.at(index);
        change(replica);
        reindex(index, replica);
    }

    /// Replicas of the model that accept calls, in no particular order.
    const std::vector<ReplicaIndex>& open(const std::string& model) const;

    /// All replicas of the model, including leaving ones.
    const std::vector<ReplicaIndex>& members(const std::string& model) const;

    /// Discards load reports older than \p maxAge.
    void expireReports(TimePoint now, Milliseconds maxAge);

    /// Number of replicas of the model that are not leaving.
    std::size_t stayingCount(const std::string& model) const;

private:
    struct Pool {
        std::vector<ReplicaIndex> members;
        std::vector<ReplicaIndex> open;
    };

    void reindex(ReplicaIndex, Replica&);
    void removeFromOpen(Pool&, Replica&);

    std::unordered_map<ReplicaIndex, Replica> m_replicas;
    std::unordered_map<TargetId, ReplicaIndex> m_byId;
    std::unordered_map<std::string, Pool> m_pools;
    ReplicaIndex m_next = 0;
};

} // namespace basilpoint
