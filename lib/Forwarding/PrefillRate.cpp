#include "basilpoint/Forwarding/PrefillRate.h"

#include <algorithm>

namespace basilpoint {

// About the latest 100 calls count.
static constexpr double decay = 0.99;
// Weight of the initial rate: as much as 20 calls whose uncached tokens deviate by 1,000 from the mean.
static constexpr double initialVariance = 20.0 * 1'000 * 1'000;
// Factor between the initial rate and the least or greatest that is believed.
static constexpr double maxRateFactor = 10;
// The time to the first event includes waiting. Beyond this many milliseconds over the expected time it is mostly waiting.
static constexpr double maxWaitMilliseconds = 200;

// The slope of time over tokens, since the rest of the time does not depend on the prompt.
void PrefillRate::record(double uncachedTokens, double milliseconds)
{
    if (m_weight > 0) {
        double expected = m_meanMilliseconds + (uncachedTokens - m_meanTokens) / tokensPerMillisecond();
        milliseconds = std::min(milliseconds, expected + maxWaitMilliseconds);
    }
    m_weight = decay * m_weight + 1;
    double tokens = uncachedTokens - m_meanTokens;
    double time = milliseconds - m_meanMilliseconds;
    m_meanTokens += tokens / m_weight;
    m_meanMilliseconds += time / m_weight;
    m_variance = decay * m_variance + tokens * (uncachedTokens - m_meanTokens);
    m_covariance = decay * m_covariance + tokens * (milliseconds - m_meanMilliseconds);
}

double PrefillRate::tokensPerMillisecond() const
{
    double millisecondsPerToken = (m_covariance + initialVariance / initialTokensPerMillisecond) / (m_variance + initialVariance);
    double least = 1 / (initialTokensPerMillisecond * maxRateFactor);
    double most = maxRateFactor / initialTokensPerMillisecond;
    return 1 / std::clamp(millisecondsPerToken, least, most);
}

} // namespace basilpoint
