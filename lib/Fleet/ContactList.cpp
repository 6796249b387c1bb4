#include "ContactList.h"

#include <algorithm>

namespace basilpoint {

/// Limits the messages of one tick after a long network partition.
static constexpr std::size_t contradictedPerTick = 8;

static std::size_t draw(std::size_t count, RandomEngine& random)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

void ContactList::addContradicted(const InstanceId& id)
{
    if (m_contradicted.insert(id).second)
        m_contradictedOrder.push_back(id);
}

std::vector<InstanceId> ContactList::takeContradicted()
{
    std::vector<InstanceId> taken;
    while (taken.size() < contradictedPerTick && !m_contradictedOrder.empty()) {
        taken.push_back(m_contradictedOrder.front());
        m_contradictedOrder.pop_front();
        m_contradicted.erase(taken.back());
    }
    return taken;
}

std::optional<ContactList::Contact> ContactList::next(const MemberTable& table, const Endpoint& self, unsigned deadPeriods, RandomEngine& random)
{
    std::set<Endpoint> known { self };
    std::vector<const MemberInfo*> dead;
    for (const auto& [id, entry] : table.entries()) {
        known.insert(entry.info.peer);
        if (entry.isDead())
            dead.push_back(&entry.info);
    }
    std::vector<Endpoint> unknown;
    std::set_difference(m_listed.begin(), m_listed.end(), known.begin(), known.end(), std::back_inserter(unknown));
    if (!unknown.empty())
        return Contact { {}, unknown[draw(unknown.size(), random)] };
    if (dead.empty() || ++m_periods % deadPeriods != 0)
        return {};
    const MemberInfo& member = *dead[draw(dead.size(), random)];
    return Contact { member.id, member.peer };
}

} // namespace basilpoint
