#include "basilpoint/Forwarding/PaceShares.h"

#include <algorithm>
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
    update(now);
}

void PaceShares::setSlots(std::map<int, double> slots)
{
    m_slots = std::move(slots);
    update(m_updatedAt);
}

void PaceShares::update(TimePoint now)
{
    m_updatedAt = now;
    m_excesses.clear();
    double allSlots = 0;
    double allWork = 0;
    for (const auto& [step, slots] : m_slots) {
        auto work = m_work.find(step);
        double milliseconds = work == m_work.end() ? 0 : workOf(work->second, now);
        allSlots += slots;
        allWork += milliseconds;
        m_excesses[step] = milliseconds / std::max(slots, 1.0);
    }
    for (auto& [step, value] : m_excesses)
        value = allWork <= 0 ? 0 : value * allSlots / allWork - 1;
}

} // namespace basilpoint
