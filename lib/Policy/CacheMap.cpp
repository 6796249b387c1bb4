#include "basilpoint/Policy/CacheMap.h"

#include <algorithm>

namespace basilpoint {

void CacheMap::put(const ProgramId& program, ReplicaIndex replica, TokenCount tokens, TimePoint limit)
{
    erase(program, replica);
    m_programs[program].push_back({ replica, tokens, limit, false });
    Held& held = m_replicas[replica];
    held.programs.insert(program);
    held.tokens += tokens;
    m_tokens += tokens;
    m_byLimit.insert({ limit, program, replica });
}

void CacheMap::setLimit(const ProgramId& program, TimePoint limit)
{
    auto it = m_programs.find(program);
    if (it == m_programs.end())
        return;
    for (CacheEntry& entry : it->second) {
        m_byLimit.erase({ entry.limit, program, entry.replica });
        entry.limit = limit;
        m_byLimit.insert({ limit, program, entry.replica });
    }
}

void CacheMap::dropKeys(const ProgramId& program, const CacheEntry& entry)
{
    m_byLimit.erase({ entry.limit, program, entry.replica });
    m_tokens -= entry.tokens;
    auto it = m_replicas.find(entry.replica);
    if (it == m_replicas.end())
        return;
    it->second.programs.erase(program);
    it->second.tokens -= entry.tokens;
    if (it->second.programs.empty())
        m_replicas.erase(it);
}

void CacheMap::erase(const ProgramId& program, ReplicaIndex replica)
{
    auto it = m_programs.find(program);
    if (it == m_programs.end())
        return;
    std::erase_if(it->second, [&](const CacheEntry& entry) {
        if (entry.replica != replica)
            return false;
        dropKeys(program, entry);
        return true;
    });
    if (it->second.empty())
        m_programs.erase(it);
}

std::vector<CacheEntry> CacheMap::take(const ProgramId& program)
{
    auto node = m_programs.extract(program);
    if (node.empty())
        return {};
    for (const CacheEntry& entry : node.mapped())
        dropKeys(program, entry);
    return std::move(node.mapped());
}

std::vector<OwnedCache> CacheMap::takeExpired(TimePoint now)
{
    std::vector<OwnedCache> expired;
    while (!m_byLimit.empty() && m_byLimit.begin()->limit <= now) {
        LimitKey key = *m_byLimit.begin();
        for (const CacheEntry& entry : of(key.program)) {
            if (entry.replica == key.replica)
                expired.push_back({ key.program, entry });
        }
        erase(key.program, key.replica);
    }
    return expired;
}

void CacheMap::doubt(ReplicaIndex replica)
{
    for (const ProgramId& program : programsAt(replica)) {
        for (CacheEntry& entry : m_programs.at(program))
            entry.unsure |= entry.replica == replica;
    }
}

void CacheMap::eraseReplica(ReplicaIndex replica)
{
    for (const ProgramId& program : programsAt(replica))
        erase(program, replica);
}

const std::vector<CacheEntry>& CacheMap::of(const ProgramId& program) const
{
    static const std::vector<CacheEntry> none;
    auto it = m_programs.find(program);
    return it == m_programs.end() ? none : it->second;
}

TokenCount CacheMap::expectedTokens(const ProgramId& program, ReplicaIndex replica) const
{
    for (const CacheEntry& entry : of(program)) {
        if (entry.replica == replica)
            return entry.unsure ? entry.tokens / 2 : entry.tokens;
    }
    return 0;
}

TokenCount CacheMap::heldAt(ReplicaIndex replica) const
{
    auto it = m_replicas.find(replica);
    return it == m_replicas.end() ? 0 : it->second.tokens;
}

std::vector<ProgramId> CacheMap::programsAt(ReplicaIndex replica) const
{
    auto it = m_replicas.find(replica);
    if (it == m_replicas.end())
        return {};
    return { it->second.programs.begin(), it->second.programs.end() };
}

} // namespace basilpoint
