#include "basilpoint/Policy/ReplicaSet.h"

#include <algorithm>

namespace basilpoint {

static const std::vector<ReplicaIndex> noReplicas;

ReplicaIndex ReplicaSet::add(const TargetId& id, const std::string& model, unsigned limit)
{
    ReplicaIndex index = m_next++;
    Replica& replica = m_replicas.try_emplace(index, id, model, limit).first->second;
    m_byId[id] = index;
    m_pools[model].members.push_back(index);
    reindex(index, replica);
    return index;
}

void ReplicaSet::remove(ReplicaIndex index)
{
    auto it = m_replicas.find(index);
    if (it == m_replicas.end())
        return;
    Replica& replica = it->second;
    Pool& pool = m_pools.at(replica.model);
    removeFromOpen(pool, replica);
    std::erase(pool.members, index);
    auto byId = m_byId.find(replica.id);
    if (byId != m_byId.end() && byId->second == index)
        m_byId.erase(byId);
    m_replicas.erase(it);
}

std::optional<ReplicaIndex> ReplicaSet::find(const TargetId& id) const
{
    auto it = m_byId.find(id);
    if (it == m_byId.end())
        return std::nullopt;
    return it->second;
}

const std::vector<ReplicaIndex>& ReplicaSet::open(const std::string& model) const
{
    auto it = m_pools.find(model);
    return it == m_pools.end() ? noReplicas : it->second.open;
}

const std::vector<ReplicaIndex>& ReplicaSet::members(const std::string& model) const
{
    auto it = m_pools.find(model);
    return it == m_pools.end() ? noReplicas : it->second.members;
}

std::size_t ReplicaSet::stayingCount(const std::string& model) const
{
    const auto& all = members(model);
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](ReplicaIndex index) { return !at(index).leaving; }));
}

void ReplicaSet::expireReports(TimePoint now, Milliseconds maxAge)
{
    for (auto& [index, replica] : m_replicas) {
        replica.load.expire(now, maxAge);
        reindex(index, replica);
    }
}

void ReplicaSet::reindex(ReplicaIndex index, Replica& replica)
{
    Pool& pool = m_pools.at(replica.model);
    if (!replica.accepts())
        return removeFromOpen(pool, replica);
    if (replica.m_openPosition)
        return;
    replica.m_openPosition = pool.open.size();
    pool.open.push_back(index);
}

void ReplicaSet::removeFromOpen(Pool& pool, Replica& replica)
{
    if (!replica.m_openPosition)
        return;
    std::size_t position = *replica.m_openPosition;
    ReplicaIndex last = pool.open.back();
    pool.open[position] = last;
    m_replicas.at(last).m_openPosition = position;
    pool.open.pop_back();
    replica.m_openPosition.reset();
}

} // namespace basilpoint
