#pragma once

#include "basilpoint/Policy/ModelScheduler.h"
#include "basilpoint/Policy/Quarantine.h"
#include "basilpoint/Policy/ReplicaSet.h"

#include <map>
#include <set>

namespace basilpoint {

/// Waiting suspect calls of one model and the replicas that are emptied for them.
class SuspectLane {
public:
    void push(CallId, const Quarantine::SuspectRank&);
    bool erase(CallId);

    /// Waiting suspects, the likeliest first.
    std::vector<CallId> waiting() const;
    std::size_t size() const { return m_ranks.size(); }

    /// Empties replicas for \p needed suspects, and gives back those that aren't needed.
    void reserve(ReplicaSet&, const std::string& model, std::size_t needed);

    /// A replica that is emptied already.
    std::optional<ReplicaIndex> emptyReplica(const ReplicaSet&) const;

    void suspectStarted(ReplicaIndex replica) { m_isolated[replica] = true; }
    void suspectEnded(ReplicaIndex);

private:
    void dropUnusable(ReplicaSet&);
    void isolateOne(ReplicaSet&, const std::string& model);
    void giveBack(ReplicaSet&, std::size_t wanted);

    std::unordered_map<CallId, Quarantine::SuspectRank> m_ranks;
    std::set<std::pair<Quarantine::SuspectRank, CallId>> m_order;
    /// Replicas taken from other calls, and whether a suspect runs there.
    std::map<ReplicaIndex, bool> m_isolated;
};

} // namespace basilpoint
