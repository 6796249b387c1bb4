#include "basilpoint/Policy/CacheCapacity.h"

namespace basilpoint {

// Below this use the quotient says little.
static constexpr double minUse = 0.2;
static constexpr double averageWeight = 0.1;
// The rest is for the growth of the programs that are there.
static constexpr double usableShare = 0.9;

void CacheRoom::reported(double cacheUse, TokenCount held)
{
    if (cacheUse < minUse || held == 0)
        return;
    double size = static_cast<double>(held) / cacheUse;
    m_size += (size - m_size) * (m_size > 0 ? averageWeight : 1);
}

bool CacheRoom::fits(TokenCount held, TokenCount more) const
{
    return m_size == 0 || static_cast<double>(held + more) <= m_size * usableShare;
}

} // namespace basilpoint
