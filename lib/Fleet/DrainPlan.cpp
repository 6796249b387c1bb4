#include "basilpoint/Fleet/DrainPlan.h"

#include <algorithm>

namespace basilpoint {

void DrainPlan::stopBy(WallTimePoint deadline)
{
    m_deadline = m_deadline ? std::min(*m_deadline, deadline) : deadline;
    WallTimePoint start = *m_deadline - m_settings.maxResponseTime - m_settings.handOverTime - m_settings.propagationTime;
    m_startsAt = m_startsAt ? std::min(*m_startsAt, start) : start;
}

void DrainPlan::stopNow(WallTimePoint now)
{
    m_startsAt = m_startsAt ? std::min(*m_startsAt, now) : now;
}

void DrainPlan::cancel()
{
    if (m_step != DrainStep::Serving)
        return;
    m_deadline.reset();
    m_startsAt.reset();
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
        return m_startsAt && now >= *m_startsAt ? DrainStep::NotReady : DrainStep::Serving;
    case DrainStep::NotReady:
        return now >= m_notReadySince + m_settings.propagationTime ? DrainStep::HandingOver : DrainStep::NotReady;
    case DrainStep::HandingOver:
        return progress.shards == 0 ? DrainStep::Finishing : DrainStep::HandingOver;
    case DrainStep::Finishing:
        return progress.requests == 0 ? DrainStep::Exit : DrainStep::Finishing;
    case DrainStep::Exit:
        return DrainStep::Exit;
    }
    return m_step;
}

bool DrainPlan::isLate(WallTimePoint now) const
{
    if (!m_deadline || m_step == DrainStep::Exit)
        return false;
    if (m_step == DrainStep::Finishing)
        return now > *m_deadline;
    return now + m_settings.maxResponseTime > *m_deadline;
}

} // namespace basilpoint
