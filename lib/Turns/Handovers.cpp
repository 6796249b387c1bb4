#include "basilpoint/Turns/Handovers.h"

namespace basilpoint {

// A restarted daemon announces itself within seconds. Handovers expire because an announcement may be missed: if that
// daemon dies as well, its changes must not be taken to be included in the handover.
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
