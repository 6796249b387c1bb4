#include "SuspectQueue.h"

#include <algorithm>

namespace basilpoint {

// One of this many replicas of a model may be isolated for suspects, but at least one.
static constexpr std::size_t replicasPerIsolated = 4;

void SuspectQueue::push(CallId id, const Quarantine::SuspectRank& rank)
{
    m_ranks[id] = rank;
    m_order.insert({ rank, id });
}

bool SuspectQueue::erase(CallId id)
{
    auto it = m_ranks.find(id);
    if (it == m_ranks.end())
        return false;
    m_order.erase({ it->second, id });
    m_ranks.erase(it);
    return true;
}

std::vector<CallId> SuspectQueue::waiting() const
{
    std::vector<CallId> ids;
    for (const auto& [rank, id] : m_order)
        ids.push_back(id);
    return ids;
}

static std::optional<ReplicaIndex> leastLoaded(const ReplicaSet& replicas, const std::string& model)
{
    const auto& members = replicas.members(model);
    std::optional<ReplicaIndex> best;
    for (ReplicaIndex index : members) {
        const Replica& replica = replicas.at(index);
        if (replica.leaving || replica.ejected || replica.isolated)
            continue;
        if (!best || replica.load.total() < replicas.at(*best).load.total())
            best = index;
    }
    return best;
}

void SuspectQueue::suspectEnded(ReplicaIndex replica)
{
    auto it = m_isolated.find(replica);
    if (it != m_isolated.end())
        it->second = false;
}

void SuspectQueue::isolateOne(ReplicaSet& replicas, const std::string& model)
{
    auto replica = leastLoaded(replicas, model);
    if (!replica)
        return;
    m_isolated[*replica] = false;
    replicas.update(*replica, [](Replica& changed) { changed.isolated = true; });
}

void SuspectQueue::releaseIsolated(ReplicaSet& replicas, std::size_t wanted)
{
    for (auto it = m_isolated.begin(); m_isolated.size() > wanted && it != m_isolated.end();) {
        bool busy = it->second;
        if (busy) {
            ++it;
            continue;
        }
        replicas.update(it->first, [](Replica& changed) { changed.isolated = false; });
        it = m_isolated.erase(it);
    }
}

void SuspectQueue::removeUnusable(ReplicaSet& replicas)
{
    std::erase_if(m_isolated, [&](const auto& entry) {
        if (!replicas.contains(entry.first))
            return true;
        bool busy = entry.second;
        if (busy || !replicas.at(entry.first).leaving)
            return false;
        // If the replica stays after all, it must accept other calls again.
        replicas.update(entry.first, [](Replica& changed) { changed.isolated = false; });
        return true;
    });
}

void SuspectQueue::isolateReplicas(ReplicaSet& replicas, const std::string& model, std::size_t needed)
{
    removeUnusable(replicas);
    if (needed == 0 && m_isolated.empty())
        return;
    std::size_t busy = static_cast<std::size_t>(std::count_if(m_isolated.begin(), m_isolated.end(), [](const auto& entry) { return entry.second; }));
    std::size_t allowed = std::max<std::size_t>(1, replicas.stayingCount(model) / replicasPerIsolated);
    std::size_t wanted = std::min(needed + busy, allowed);
    for (std::size_t n = m_isolated.size(); n < wanted; ++n)
        isolateOne(replicas, model);
    releaseIsolated(replicas, wanted);
}

std::optional<ReplicaIndex> SuspectQueue::idleReplica(const ReplicaSet& replicas) const
{
    for (const auto& [index, busy] : m_isolated) {
        if (busy || !replicas.contains(index))
            continue;
        const Replica& replica = replicas.at(index);
        if (replica.load.own() == 0 && !replica.leaving && !replica.ejected)
            return index;
    }
    return std::nullopt;
}

} // namespace basilpoint
