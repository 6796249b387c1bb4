#include "basilpoint/Policy/LoadEstimate.h"

#include <algorithm>

namespace basilpoint {

void LoadEstimate::setOwn(unsigned own, TimePoint now)
{
    m_own = own;
    m_samples.push_back({ now, own });
}

unsigned LoadEstimate::ownAt(TimePoint time) const
{
    for (auto it = m_samples.rbegin(); it != m_samples.rend(); ++it) {
        if (it->at <= time)
            return it->own;
    }
    // The time precedes all samples, so the oldest one is the closest.
    return m_samples.empty() ? m_own : m_samples.front().own;
}

void LoadEstimate::reported(std::uint64_t total, TimePoint measuredAt)
{
    if (m_measuredAt && *m_measuredAt >= measuredAt)
        return;
    m_measuredAt = measuredAt;
    std::uint64_t own = ownAt(measuredAt);
    m_others = total - std::min(total, own);
}

void LoadEstimate::expire(TimePoint now, Milliseconds maxAge)
{
    if (!m_measuredAt || now - *m_measuredAt <= maxAge)
        return;
    m_measuredAt.reset();
    m_others = 0;
}

} // namespace basilpoint
