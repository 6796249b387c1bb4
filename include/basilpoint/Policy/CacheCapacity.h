#pragma once

#include "basilpoint/Support/Ids.h"

namespace basilpoint {

/// Estimate of how many tokens this daemon can cache at one replica.
///
/// A load report gives the share of cache memory in use but not the memory's size. The estimate is
/// this daemon's cached tokens divided by that share, so memory used by other daemons lowers it.
class CacheCapacity {
public:
    /// Updates the estimate from a load report.
    /// \param cacheUse share of cache memory in use, from 0 to 1.
    /// \param cachedTokens this daemon's tokens expected to be cached there at that time.
    void reported(double cacheUse, TokenCount cachedTokens);

    /// Whether \p additionalTokens fit beside \p cachedTokens; true while there is no estimate.
    bool fits(TokenCount cachedTokens, TokenCount additionalTokens) const;

    /// Share of the capacity that \p cachedTokens take; 0 while there is no estimate.
    double use(TokenCount cachedTokens) const { return m_tokens > 0 ? static_cast<double>(cachedTokens) / m_tokens : 0; }

private:
    /// Estimated capacity; 0 if unknown.
    double m_tokens = 0;
};

} // namespace basilpoint
