#include "basilpoint/Turns/Handovers.h"

namespace basilpoint {

// A successor starts within seconds and says so. One that was not heard of, and died, must not be taken for one
// that never was.
static constexpr Milliseconds validity { 30'000 };

void Handovers::record(const std::string& daemon, TimePoint now)
{
    m_recordedAt[daemon] = now;
}

void Handovers::lifetimeStarted(const std::string& daemon)
{
    m_recordedAt.erase(daemon);
}

bool Handovers::isValid(const std::string& daemon, TimePoint now) const
{
    auto it = m_recordedAt.find(daemon);
    return it != m_recordedAt.end() && now - it->second < validity;
}

} // namespace basilpoint
