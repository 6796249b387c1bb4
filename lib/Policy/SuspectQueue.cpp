#include "SuspectQueue.h"

#include <algorithm>

namespace basilpoint {

// Part of a model's replicas that suspects may take from other calls.
static constexpr std::size_t replicasPerIsolated = 4;

void SuspectLane::push(CallId id, const Quarantine::SuspectRank& rank)
{
    m_ranks[id] = rank;
    m_order.insert({ rank, id });
}

bool SuspectLane::erase(CallId id)
{
    auto it = m_ranks.find(id);
    if (it == m_ranks.end())
        return false;
    m_order.erase({ it->second, id });
    m_ranks.erase(it);
    return true;
}

std::vector<CallId> SuspectLane::waiting() const
{
    std::vector<CallId> ids;
    for (const auto& [rank, id] : m_order)
        ids.push_back(id);
    return ids;
}

static std::optional<ReplicaIndex> leastBusy(const ReplicaSet& replicas, const std::string& model)
{
    const auto& open = replicas.members(model);
    std::optional<ReplicaIndex> best;
    for (ReplicaIndex index : open) {
        const Replica& replica = replicas.at(index);
        if (replica.leaving || replica.ejected || replica.isolated)
            continue;
        if (!best || replica.load.total() < replicas.at(*best).load.total())
            best = index;
    }
    return best;
}

void SuspectLane::suspectEnded(ReplicaIndex replica)
{
    auto it = m_isolated.find(replica);
    if (it != m_isolated.end())
        it->second = false;
}

void SuspectLane::isolateOne(ReplicaSet& replicas, const std::string& model)
{
    auto replica = leastBusy(replicas, model);
    if (!replica)
        return;
    m_isolated[*replica] = false;
    replicas.update(*replica, [](Replica& changed) { changed.isolated = true; });
}

void SuspectLane::giveBack(ReplicaSet& replicas, std::size_t wanted)
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

void SuspectLane::dropUnusable(ReplicaSet& replicas)
{
    std::erase_if(m_isolated, [&](const auto& entry) {
        if (!replicas.contains(entry.first))
            return true;
        bool busy = entry.second;
        if (busy || !replicas.at(entry.first).leaving)
            return false;
        // Its notice may be withdrawn; then it serves other calls again.
        replicas.update(entry.first, [](Replica& changed) { changed.isolated = false; });
        return true;
    });
}

void SuspectLane::reserve(ReplicaSet& replicas, const std::string& model, std::size_t needed)
{
    dropUnusable(replicas);
    if (needed == 0 && m_isolated.empty())
        return;
    std::size_t busy = static_cast<std::size_t>(std::count_if(m_isolated.begin(), m_isolated.end(), [](const auto& entry) { return entry.second; }));
    std::size_t allowed = std::max<std::size_t>(1, replicas.staying(model) / replicasPerIsolated);
    std::size_t wanted = std::min(needed + busy, allowed);
    for (std::size_t n = m_isolated.size(); n < wanted; ++n)
        isolateOne(replicas, model);
    giveBack(replicas, wanted);
}

std::optional<ReplicaIndex> SuspectLane::emptyReplica(const ReplicaSet& replicas) const
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
