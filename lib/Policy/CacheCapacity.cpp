#include "basilpoint/Policy/CacheCapacity.h"

namespace basilpoint {

// The quotient of tokens and use is too inaccurate below this use.
static constexpr double minUse = 0.2;
// Weight of a new sample in the moving average.
static constexpr double averageWeight = 0.1;
// Share of the capacity for new prefixes; the rest is left for growing prefixes of programs already cached.
static constexpr double usableShare = 0.9;

void CacheCapacity::reported(double cacheUse, TokenCount cachedTokens)
{
    if (cacheUse < minUse || cachedTokens == 0)
        return;
    double tokens = static_cast<double>(cachedTokens) / cacheUse;
    m_tokens += (tokens - m_tokens) * (m_tokens > 0 ? averageWeight : 1);
}

bool CacheCapacity::fits(TokenCount cachedTokens, TokenCount additionalTokens) const
{
    return m_tokens == 0 || static_cast<double>(cachedTokens + additionalTokens) <= m_tokens * usableShare;
}

} // namespace basilpoint
