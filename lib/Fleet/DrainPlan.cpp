#include "basilpoint/Fleet/DrainPlan.h"

#include <algorithm>

namespace basilpoint {

void DrainPlan::stopBy(WallTimePoint date)
{
    m_date = m_date ? std::min(*m_date, date) : date;
    WallTimePoint begin = *m_date - m_settings.longestAnswer - m_settings.handOverTime - m_settings.noticeTime;
    m_beginsAt = m_beginsAt ? std::min(*m_beginsAt, begin) : begin;
}

void DrainPlan::stopNow(WallTimePoint now)
{
    m_beginsAt = m_beginsAt ? std::min(*m_beginsAt, now) : now;
}

void DrainPlan::cancel()
{
    if (m_step != DrainStep::Serving)
        return;
    m_date.reset();
    m_beginsAt.reset();
}

DrainStep DrainPlan::update(const DrainProgress& progress, WallTimePoint now)
{
    DrainStep next = nextStep(progress, now);
    if (next == DrainStep::NotReady && m_step == DrainStep::Serving)
        m_notReadySince = now;
    m_step = next;
    return m_step;
}

DrainStep DrainPlan::nextStep(const DrainProgress& progress, WallTimePoint now) const
{
    switch (m_step) {
    case DrainStep::Serving:
        return m_beginsAt && now >= *m_beginsAt ? DrainStep::NotReady : DrainStep::Serving;
    case DrainStep::NotReady:
        return now >= m_notReadySince + m_settings.noticeTime ? DrainStep::HandingOver : DrainStep::NotReady;
    case DrainStep::HandingOver:
        return progress.shards == 0 ? DrainStep::Finishing : DrainStep::HandingOver;
    case DrainStep::Finishing:
        return progress.requests == 0 ? DrainStep::Exit : DrainStep::Finishing;
    case DrainStep::Exit:
        return DrainStep::Exit;
    }
    return m_step;
}

bool DrainPlan::late(WallTimePoint now) const
{
    if (!m_date || m_step == DrainStep::Exit)
        return false;
    if (m_step == DrainStep::Finishing)
        return now > *m_date;
    return now + m_settings.longestAnswer > *m_date;
}

} // namespace basilpoint
