#include "basilpoint/Policy/RefusalBackoff.h"

#include <algorithm>

namespace basilpoint {

static constexpr unsigned maxDoublings = 6;
// A program that has not retried for this time after its delay is assumed to have given up.
static constexpr std::chrono::minutes lifetime { 5 };
// Programs beyond this number get the base delay.
static constexpr std::size_t maxPrograms = 65'536;

Milliseconds RefusalBackoff::refused(const ProgramId& root, Milliseconds base, TimePoint now)
{
    if (m_refused.size() >= maxPrograms && !m_refused.contains(root))
        return base;
    Refusal& refusal = m_refused[root];
    Milliseconds delay(base.count() << std::min(maxDoublings, refusal.count++));
    refusal.retryAt = now + delay;
    return delay;
}

bool RefusalBackoff::isEarly(const ProgramId& root, TimePoint now) const
{
    auto it = m_refused.find(root);
    return it != m_refused.end() && now < it->second.retryAt;
}

void RefusalBackoff::sweep(TimePoint now)
{
    std::erase_if(m_refused, [&](const auto& entry) { return now - entry.second.retryAt > lifetime; });
}

} // namespace basilpoint
