#include "basilpoint/Policy/ConcurrencyLimit.h"

#include <algorithm>
#include <utility>

namespace basilpoint {

// A replica that runs none of its queued calls is still sent one call at a time.
static constexpr std::uint64_t minLimit = 1;

void ConcurrencyLimit::reported(std::uint64_t running, std::uint64_t waiting)
{
    // A single waiting call may have arrived during the current batch step and start in the next one.
    bool queued = waiting > 1;
    bool queuedBefore = std::exchange(m_queued, queued);
    if (queued && queuedBefore) {
        m_limit = static_cast<unsigned>(std::clamp<std::uint64_t>(running, minLimit, m_limit));
        return;
    }
    if (!queued && running + 1 >= m_limit)
        m_limit = std::min(m_max, m_limit + 1);
}

} // namespace basilpoint
