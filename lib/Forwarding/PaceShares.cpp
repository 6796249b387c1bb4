#include "basilpoint/Forwarding/PaceShares.h"

#include <cmath>

namespace basilpoint {

// Long enough for several calls at the targets of each pace.
static constexpr std::chrono::duration<double> halfLife { 20 };

double PaceShares::workOf(const Work& work, TimePoint now)
{
    std::chrono::duration<double> age = now - work.at;
    return work.milliseconds * std::exp2(-age / halfLife);
}

void PaceShares::sent(int step, double milliseconds, TimePoint now)
{
    Work& work = m_work[step];
    work = { workOf(work, now) + milliseconds, now };
}

double PaceShares::excess(int step, TimePoint now) const
{
    auto own = m_slots.find(step);
    if (own == m_slots.end())
        return 0;
    double allSlots = 0;
    double allWork = 0;
    double ownWork = 0;
    for (const auto& [it, slots] : m_slots) {
        allSlots += slots;
        auto work = m_work.find(it);
        double milliseconds = work == m_work.end() ? 0 : workOf(work->second, now);
        allWork += milliseconds;
        if (it == step)
            ownWork = milliseconds;
    }
    if (allWork <= 0 || own->second <= 0)
        return 0;
    return ownWork / own->second * allSlots / allWork - 1;
}

} // namespace basilpoint
