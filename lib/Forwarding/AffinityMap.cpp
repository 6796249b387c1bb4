#include "basilpoint/Forwarding/AffinityMap.h"

#include "basilpoint/Support/Hash.h"

namespace basilpoint {

void AffinityMap::handled(const std::string& key, const TargetId& target, TimePoint now)
{
    std::uint64_t hash = hash64(key);
    auto it = m_keys.find(hash);
    if (it != m_keys.end())
        m_entries.erase(it->second);
    m_entries.push_back({ hash, target, now });
    m_keys[hash] = std::prev(m_entries.end());
    if (m_entries.size() > m_maxEntries) {
        m_keys.erase(m_entries.front().key);
        m_entries.pop_front();
    }
}

TargetId AffinityMap::holder(const std::string& key, TimePoint now) const
{
    auto it = m_keys.find(hash64(key));
    return it == m_keys.end() || now - it->second->at > retention ? TargetId() : it->second->target;
}

void AffinityMap::forget(const TargetId& target)
{
    std::erase_if(m_keys, [&](const auto& it) { return it.second->target == target; });
    std::erase_if(m_entries, [&](const Entry& it) { return it.target == target; });
}

} // namespace basilpoint
