#include "basilpoint/Turns/Handovers.h"

namespace basilpoint {

// A successor starts within seconds and says so. One that was not heard of, and died, must not be taken for one
// that never was.
static constexpr Milliseconds longestCover { 30'000 };

void Handovers::noted(const std::string& daemon, TimePoint now)
{
    m_notedAt[daemon] = now;
}

void Handovers::succeeded(const std::string& daemon)
{
    m_notedAt.erase(daemon);
}

bool Handovers::covers(const std::string& daemon, TimePoint now) const
{
    auto it = m_notedAt.find(daemon);
    return it != m_notedAt.end() && now - it->second < longestCover;
}

} // namespace basilpoint
