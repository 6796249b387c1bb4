#include "basilpoint/Gateway/StoreHealth.h"

#include <algorithm>

namespace basilpoint {

// An answer that takes this many times its usual time is taken for lost.
static constexpr double patience = 8;
static constexpr double leastLimitMilliseconds = 150;
static constexpr double greatestLimitMilliseconds = 1'500;
// Weight of the latest answer in the usual time.
static constexpr double smoothing = 0.2;

void StoreHealth::learn(Milliseconds took)
{
    m_usualMilliseconds += smoothing * (static_cast<double>(took.count()) - m_usualMilliseconds);
}

bool StoreHealth::answered(Milliseconds took, TimePoint now)
{
    learn(took);
    m_answeredAt = now;
    bool isBack = m_failingSince.has_value();
    m_failingSince.reset();
    return isBack;
}

bool StoreHealth::failed(Milliseconds waited, TimePoint now)
{
    // A refusal comes at once and says nothing of the time that answers take.
    if (waited >= answerLimit())
        learn(waited);
    // Calls of an outage end after it, one after the other, as their time is up.
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

Milliseconds StoreHealth::answerLimit() const
{
    return Milliseconds(static_cast<std::int64_t>(std::clamp(patience * m_usualMilliseconds, leastLimitMilliseconds, greatestLimitMilliseconds)));
}

} // namespace basilpoint
