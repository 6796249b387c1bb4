#include "basilpoint/Policy/AttainedService.h"

#include <algorithm>
#include <cmath>

namespace basilpoint {

// Work at which level 1 begins, in prefill-token equivalents. A first call of a few thousand tokens stays at level 0.
static constexpr double firstLevelWork = 8'000;
// Each further level begins at this multiple of the previous one's work.
static constexpr double levelGrowth = 4;

void AttainedService::add(const ProgramId& root, double work, TimePoint now)
{
    Service& service = m_roots[root];
    service.work += work;
    service.lastServed = now;
}

unsigned AttainedService::levelOf(const ProgramId& root) const
{
    auto it = m_roots.find(root);
    if (it == m_roots.end() || it->second.work < firstLevelWork)
        return 0;
    double level = 1 + std::log(it->second.work / firstLevelWork) / std::log(levelGrowth);
    return std::min(maxLevel, static_cast<unsigned>(level));
}

void AttainedService::sweep(TimePoint now, Milliseconds idle)
{
    std::erase_if(m_roots, [&](const auto& entry) { return now - entry.second.lastServed > idle; });
}

} // namespace basilpoint
