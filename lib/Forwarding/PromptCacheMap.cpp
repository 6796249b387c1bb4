#include "basilpoint/Forwarding/PromptCacheMap.h"

#include "basilpoint/Support/Hash.h"

#include <algorithm>

namespace basilpoint {

void PromptCacheMap::read(const TargetId& target, const std::vector<PromptPart>& parts)
{
    // In reverse, so that of one prompt the last parts are evicted first: without the parts before them they count nothing.
    for (std::size_t n = std::min(parts.size(), maxPartsOfPrompt); n-- > 0;) {
        std::uint64_t part = hash64(parts[n].id);
        auto& positions = m_parts[part];
        auto known = std::find_if(positions.begin(), positions.end(), [&](Position it) { return it->target == target; });
        if (known != positions.end()) {
            m_entries.splice(m_entries.end(), m_entries, *known);
            continue;
        }
        m_entries.push_back({ part, target });
        positions.push_back(std::prev(m_entries.end()));
    }
    while (m_entries.size() > m_maxEntries)
        erase(m_entries.begin());
}

CachedTokens PromptCacheMap::cached(const std::vector<PromptPart>& parts) const
{
    CachedTokens tokens;
    // Targets that have read all parts so far.
    std::vector<TargetId> readers;
    for (std::size_t n = 0; n < std::min(parts.size(), maxPartsOfPrompt); ++n) {
        auto positions = m_parts.find(hash64(parts[n].id));
        if (positions == m_parts.end())
            break;
        std::vector<TargetId> remaining;
        for (Position it : positions->second) {
            if (n > 0 && std::find(readers.begin(), readers.end(), it->target) == readers.end())
                continue;
            tokens[it->target] += parts[n].tokens;
            remaining.push_back(it->target);
        }
        readers = std::move(remaining);
    }
    return tokens;
}

void PromptCacheMap::forget(const TargetId& target)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        auto next = std::next(it);
        if (it->target == target)
            erase(it);
        it = next;
    }
}

void PromptCacheMap::erase(Position position)
{
    auto it = m_parts.find(position->part);
    std::erase(it->second, position);
    if (it->second.empty())
        m_parts.erase(it);
    m_entries.erase(position);
}

} // namespace basilpoint
