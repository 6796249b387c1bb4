#include "basilpoint/Gateway/StoreHealth.h"

#include <algorithm>

namespace basilpoint {

// Timeout of a call as a multiple of the average response time.
static constexpr double timeoutFactor = 8;
static constexpr double minTimeoutMilliseconds = 150;
static constexpr double maxTimeoutMilliseconds = 1'500;
// Weight of the latest sample in the moving average.
static constexpr double averageWeight = 0.2;

void StoreHealth::updateAverage(Milliseconds took)
{
    m_averageMilliseconds += averageWeight * (static_cast<double>(took.count()) - m_averageMilliseconds);
}

bool StoreHealth::answered(Milliseconds took, TimePoint now)
{
    updateAverage(took);
    m_answeredAt = now;
    bool isRecovered = m_failingSince.has_value();
    m_failingSince.reset();
    return isRecovered;
}

bool StoreHealth::failed(Milliseconds waited, TimePoint now)
{
    // Only timeouts are samples: a refused call fails at once, whatever the response time.
    if (waited >= responseTimeout())
        updateAverage(waited);
    // Calls that began during an outage can time out after the service has recovered.
    if (m_answeredAt && now - waited < *m_answeredAt)
        return false;
    bool isFirst = !m_failingSince;
    if (isFirst)
        m_failingSince = now;
    return isFirst;
}

bool StoreHealth::isFailingFor(Milliseconds limit, TimePoint now) const
{
    return m_failingSince && now - *m_failingSince >= limit;
}

Milliseconds StoreHealth::responseTimeout() const
{
    return Milliseconds(static_cast<std::int64_t>(std::clamp(timeoutFactor * m_averageMilliseconds, minTimeoutMilliseconds, maxTimeoutMilliseconds)));
}

} // namespace basilpoint
