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

/// Number of a replica within one process; never used again.
using ReplicaIndex = std::uint32_t;

/// What is known of one engine replica.
struct Replica {
    Replica(const TargetId& target, const std::string& served, unsigned maxRunning)
        : id(target)
        , model(served)
        , limit(maxRunning)
    {
    }

    TargetId id;
    std::string model;
    LoadEstimate load;
    ConcurrencyLimit limit;
    CacheRoom room;
    /// Own calls that wait for a free place here, because their cache is here.
    unsigned parked = 0;
    /// Share of the cache memory in use, by the last report.
    double cacheUse = 0;
    /// Moving average of a call's time here, from dispatch to end.
    double meanSeconds = 0;
    bool leaving = false;
    bool ejected = false;
    /// Takes only one suspect call at a time.
    bool isolated = false;

    /// Whether one more call may go here.
    bool accepts() const { return !leaving && !ejected && !isolated && load.total() < limit.value(); }

private:
    friend class ReplicaSet;
    std::optional<std::size_t> m_openPosition;
};

/// The replicas of all models, with the ones that accept calls indexed for sampling.
class ReplicaSet {
public:
    ReplicaIndex add(const TargetId&, const std::string& model, unsigned limit);
    void remove(ReplicaIndex);

    std::optional<ReplicaIndex> find(const TargetId&) const;
    const Replica& at(ReplicaIndex index) const { return m_replicas.at(index); }
    bool contains(ReplicaIndex index) const { return m_replicas.contains(index); }

    /// Applies \p change to the replica and updates the index of open ones.
    template <typename Change>
    void update(ReplicaIndex index, Change&& change)
    {
        Replica& replica = m_replicas.at(index);
        change(replica);
        reindex(index, replica);
    }

    /// Replicas of the model that accept calls.
    const std::vector<ReplicaIndex>& open(const std::string& model) const;

    /// Replicas of the model, leaving ones included.
    const std::vector<ReplicaIndex>& members(const std::string& model) const;

    /// Drops load reports older than \p maxAge.
    void expireReports(TimePoint now, Milliseconds maxAge);

    /// Replicas of the model that are not leaving.
    std::size_t staying(const std::string& model) const;

private:
    struct Pool {
        std::vector<ReplicaIndex> members;
        std::vector<ReplicaIndex> open;
    };

    void reindex(ReplicaIndex, Replica&);
    void close(Pool&, Replica&);

    std::unordered_map<ReplicaIndex, Replica> m_replicas;
    std::unordered_map<TargetId, ReplicaIndex> m_byId;
    std::unordered_map<std::string, Pool> m_pools;
    ReplicaIndex m_next = 0;
};

} // namespace basilpoint
