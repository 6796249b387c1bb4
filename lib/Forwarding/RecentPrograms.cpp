#include "basilpoint/Forwarding/RecentPrograms.h"

#include "basilpoint/Support/Hash.h"

#include <algorithm>
#include <vector>

namespace basilpoint {

static std::uint64_t keyOf(std::string_view organisation, std::string_view program)
{
    return hash64(program, hash64(organisation));
}

void RecentPrograms::sent(std::string_view organisation, std::string_view program, TimePoint now)
{
    if (m_sentAt.size() >= maxPrograms)
        forgetSome(now);
    m_sentAt[keyOf(organisation, program)] = now;
}

bool RecentPrograms::contains(std::string_view organisation, std::string_view program, TimePoint now) const
{
    auto it = m_sentAt.find(keyOf(organisation, program));
    return it != m_sentAt.end() && now - it->second < memory;
}

// Forgets the older half if all are recent, so that the cost per program stays constant.
void RecentPrograms::forgetSome(TimePoint now)
{
    std::vector<TimePoint> times;
    times.reserve(m_sentAt.size());
    for (const auto& it : m_sentAt)
        times.push_back(it.second);
    auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    TimePoint limit = std::max(*middle, now - memory);
    std::erase_if(m_sentAt, [&](const auto& it) { return it.second <= limit; });
}

} // namespace basilpoint
