#include "basilpoint/Turns/Handovers.h"

namespace basilpoint {

// A restarted daemon announces itself within seconds, but the announcement may be missed. Handovers expire so that the
// changes of a daemon that restarted unnoticed and terminated again are not taken to be included in its handover.
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
