#pragma once

#include "basilpoint/Policy/ModelScheduler.h"
#include "basilpoint/Policy/Quarantine.h"
#include "basilpoint/Policy/ReplicaSet.h"

#include <map>
#include <set>

namespace basilpoint {

/// Waiting suspect calls of one model and the replicas isolated to run them.
class SuspectQueue {
public:
    void push(CallId, const Quarantine::SuspectRank&);
    bool erase(CallId);

    /// Waiting suspects, the most likely cause of a crash first.
    std::vector<CallId> waiting() const;
    std::size_t size() const { return m_ranks.size(); }

    /// Isolates replicas for \p needed waiting suspects, within a share of the model's replicas, and releases surplus ones.
    void isolateReplicas(ReplicaSet&, const std::string& model, std::size_t needed);

    /// Returns an isolated replica that has finished its other calls and runs no suspect.
    std::optional<ReplicaIndex> idleReplica(const ReplicaSet&) const;

    void suspectStarted(ReplicaIndex replica) { m_isolated[replica] = true; }
    void suspectEnded(ReplicaIndex);

private:
    void removeUnusable(ReplicaSet&);
    void isolateOne(ReplicaSet&, const std::string& model);
    void releaseIsolated(ReplicaSet&, std::size_t wanted);

    std::unordered_map<CallId, Quarantine::SuspectRank> m_ranks;
    std::set<std::pair<Quarantine::SuspectRank, CallId>> m_order;
    /// Isolated replicas, and whether a suspect runs there.
    std::map<ReplicaIndex, bool> m_isolated;
};

} // namespace basilpoint
