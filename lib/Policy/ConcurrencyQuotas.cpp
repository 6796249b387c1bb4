#include "basilpoint/Policy/ConcurrencyQuotas.h"

namespace basilpoint {

template <typename Id>
bool ConcurrencyQuotas::isBelowLimit(const std::unordered_map<Id, Usage>& usages, const Id& id)
{
    auto it = usages.find(id);
    return it == usages.end() || it->second.running < it->second.limit;
}

template <typename Id>
void ConcurrencyQuotas::release(std::unordered_map<Id, Usage>& usages, const Id& id)
{
    auto it = usages.find(id);
    if (it == usages.end() || it->second.running == 0)
        return;
    if (--it->second.running == 0 && it->second.limit == unlimited)
        usages.erase(it);
}

bool ConcurrencyQuotas::admits(const EnvironmentId& environment, const OperatorId& owner) const
{
    return isBelowLimit(m_environments, environment) && isBelowLimit(m_operators, owner);
}

void ConcurrencyQuotas::started(const EnvironmentId& environment, const OperatorId& owner)
{
    ++m_environments[environment].running;
    ++m_operators[owner].running;
}

void ConcurrencyQuotas::ended(const EnvironmentId& environment, const OperatorId& owner)
{
    release(m_environments, environment);
    release(m_operators, owner);
}

} // namespace basilpoint
