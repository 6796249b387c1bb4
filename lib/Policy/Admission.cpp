#include "basilpoint/Policy/Admission.h"

#include <algorithm>

namespace basilpoint {

// Factor applied to the limit after a window whose mean wait exceeds the maximum.
static constexpr double decreaseFactor = 0.95;
// Growth of the limit after a window without excessive waits; one program is added as well.
static constexpr double increaseFactor = 1.02;
// A limit above this multiple of the running programs has no effect and is removed.
static constexpr double unusedLimitFactor = 1.5;

Admission::Admission(AdmissionSettings settings)
    : m_settings(settings)
{
}

void Admission::recordWait(Milliseconds wait)
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
    if (m_meanWait > m_settings.maxMeanWait) {
        m_limit = std::max(1.0, std::min(m_limit.value_or(n), n) * decreaseFactor);
        return;
    }
    if (!m_limit)
        return;
    if (*m_limit > n * unusedLimitFactor + 1)
        m_limit.reset();
    else
        m_limit = *m_limit * increaseFactor + 1;
}

Milliseconds Admission::retryAfter() const
{
    return std::max(m_settings.window, 2 * m_meanWait);
}

} // namespace basilpoint
