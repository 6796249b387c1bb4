#include "basilpoint/Policy/CacheMap.h"

#include <algorithm>

namespace basilpoint {

void CacheMap::put(const ProgramId& program, ReplicaIndex replica, TokenCount tokens, TimePoint expiresAt)
{
    erase(program, replica);
    m_programs[program].push_back({ replica, tokens, expiresAt, false });
    ReplicaEntries& entries = m_replicas[replica];
    entries.programs.insert(program);
    entries.tokens += tokens;
    m_tokens += tokens;
    m_byExpiry.insert({ expiresAt, program, replica });
}

void CacheMap::setExpiry(const ProgramId& program, TimePoint expiresAt)
{
    auto it = m_programs.find(program);
    if (it == m_programs.end())
        return;
    for (CacheEntry& entry : it->second) {
        m_byExpiry.erase({ entry.expiresAt, program, entry.replica });
        entry.expiresAt = expiresAt;
        m_byExpiry.insert({ expiresAt, program, entry.replica });
    }
}

void CacheMap::removeFromIndexes(const ProgramId& program, const CacheEntry& entry)
{
    m_byExpiry.erase({ entry.expiresAt, program, entry.replica });
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
        removeFromIndexes(program, entry);
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
        removeFromIndexes(program, entry);
    return std::move(node.mapped());
}

std::vector<OwnedCache> CacheMap::takeExpired(TimePoint now)
{
    std::vector<OwnedCache> expired;
    while (!m_byExpiry.empty() && m_byExpiry.begin()->expiresAt <= now) {
        ExpiryKey key = *m_byExpiry.begin();
        for (const CacheEntry& entry : entriesOf(key.program)) {
            if (entry.replica == key.replica)
                expired.push_back({ key.program, entry });
        }
        erase(key.program, key.replica);
    }
    return expired;
}

void CacheMap::markUncertain(ReplicaIndex replica)
{
    for (const ProgramId& program : programsAt(replica)) {
        for (CacheEntry& entry : m_programs.at(program))
            entry.uncertain |= entry.replica == replica;
    }
}

void CacheMap::eraseReplica(ReplicaIndex replica)
{
    for (const ProgramId& program : programsAt(replica))
        erase(program, replica);
}

const std::vector<CacheEntry>& CacheMap::entriesOf(const ProgramId& program) const
{
    static const std::vector<CacheEntry> none;
    auto it = m_programs.find(program);
    return it == m_programs.end() ? none : it->second;
}

TokenCount CacheMap::expectedTokens(const ProgramId& program, ReplicaIndex replica) const
{
    for (const CacheEntry& entry : entriesOf(program)) {
        if (entry.replica == replica)
            return entry.uncertain ? entry.tokens / 2 : entry.tokens;
    }
    return 0;
}

TokenCount CacheMap::tokensAt(ReplicaIndex replica) const
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
