#include "basilpoint/Policy/Admission.h"

#include <algorithm>

namespace basilpoint {

// Share of the programs under way that may stay when waits first exceed the target.
static constexpr double decrease = 0.95;
// Growth of the limit per window without excessive waits.
static constexpr double increase = 1.02;
// A limit this far above the programs under way has no effect and is dropped.
static constexpr double unusedFactor = 1.5;

Admission::Admission(AdmissionSettings settings)
    : m_settings(settings)
{
}

void Admission::waited(Milliseconds wait)
{
    m_waitSum += wait;
    ++m_waits;
}

void Admission::tick(std::size_t programs, Milliseconds oldestWait, TimePoint now)
{
    if (!m_windowStart)
        m_windowStart = now;
    if (now - *m_windowStart < m_settings.window)
        return;
    m_windowStart = now;
    m_meanWait = m_waits ? m_waitSum / static_cast<Milliseconds::rep>(m_waits) : oldestWait;
    m_waitSum = Milliseconds(0);
    m_waits = 0;
    double n = static_cast<double>(programs);
    if (m_meanWait > m_settings.targetWait) {
        m_limit = std::max(1.0, std::min(m_limit.value_or(n), n) * decrease);
        return;
    }
    if (!m_limit)
        return;
    if (*m_limit > n * unusedFactor + 1)
        m_limit.reset();
    else
        m_limit = *m_limit * increase + 1;
}

Milliseconds Admission::retryAfter() const
{
    return std::max(m_settings.window, 2 * m_meanWait);
}

} // namespace basilpoint
