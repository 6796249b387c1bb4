#include "basilpoint/Policy/RetryBudget.h"

#include <algorithm>

namespace basilpoint {

RetryBudget::RetryBudget(RetrySettings settings, RandomEngine::result_type seed)
    : m_settings(settings)
    , m_random(seed)
    , m_balance(settings.maxBalance)
{
}

void RetryBudget::succeeded()
{
    m_balance = std::min(m_settings.maxBalance, m_balance + m_settings.retriesPerSuccess);
}

Milliseconds RetryBudget::drawDelay(unsigned attempts)
{
    // Exponential backoff with full jitter spreads the retries of calls that failed together.
    static constexpr unsigned maxDoublings = 16;
    auto longest = std::min(m_settings.maxDelay, Milliseconds(m_settings.firstDelay.count() << std::min(attempts, maxDoublings)));
    return Milliseconds(std::uniform_int_distribution<Milliseconds::rep>(0, longest.count())(m_random));
}

std::optional<Milliseconds> RetryBudget::retryAfter(const FailedCall& call, TimePoint now)
{
    if (!call.isIdempotent || call.attempts >= m_settings.maxAttempts || m_balance < 1)
        return std::nullopt;
    Milliseconds delay = drawDelay(call.attempts);
    if (call.deadline && now + delay + call.minDuration >= *call.deadline)
        return std::nullopt;
    m_balance -= 1;
    return delay;
}

} // namespace basilpoint
