#include "ProbeRound.h"

#include <algorithm>

namespace basilpoint {

void ProbeRound::add(const InstanceId& id, RandomEngine& random)
{
    std::uniform_int_distribution<std::size_t> draw(0, m_remaining.size());
    m_remaining.insert(m_remaining.begin() + static_cast<std::ptrdiff_t>(draw(random)), id);
}

std::optional<InstanceId> ProbeRound::next(const MemberTable& table, RandomEngine& random)
{
    if (auto id = takeLive(table))
        return id;
    for (const auto& [id, entry] : table.entries()) {
        if (!entry.isDead())
            m_remaining.push_back(id);
    }
    std::shuffle(m_remaining.begin(), m_remaining.end(), random);
    return takeLive(table);
}

std::optional<InstanceId> ProbeRound::takeLive(const MemberTable& table)
{
    while (!m_remaining.empty()) {
        InstanceId id = m_remaining.back();
        m_remaining.pop_back();
        const auto* entry = table.find(id);
        if (entry && !entry->isDead())
            return id;
    }
    return {};
}

} // namespace basilpoint
