#include "basilpoint/Fleet/LeaseTable.h"

namespace basilpoint {

bool LeaseTable::acquire(const std::string& name, const std::string& holder, TimePoint now)
{
    auto it = m_leases.find(name);
    bool taken = it != m_leases.end() && it->second.holder != holder && now < it->second.expiresAt;
    if (taken)
        return false;
    m_leases[name] = { holder, now + m_leaseTime };
    return true;
}

void LeaseTable::release(const std::string& name, const std::string& holder)
{
    auto it = m_leases.find(name);
    if (it != m_leases.end() && it->second.holder == holder)
        m_leases.erase(it);
}

} // namespace basilpoint
