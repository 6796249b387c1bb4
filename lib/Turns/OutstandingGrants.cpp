#include "basilpoint/Turns/OutstandingGrants.h"

#include <utility>

namespace basilpoint {

// Programs that are still named are asked for again this often.
static constexpr Milliseconds queryInterval { 2'000 };

OutstandingGrants::OutstandingGrants(bool mayHaveAttested, TimePoint now)
{
    if (mayHaveAttested)
        m_lastAttestationAt = now;
}

// More than one turn's tokens are granted only by the word of every daemon, and one that gave none since it
// reaches the store again gives none to grants that are still being taken. So names that were asked for after
// the last word are complete.
void OutstandingGrants::attestationGiven(TimePoint now)
{
    m_lastAttestationAt = now;
    m_programs.reset();
}

void OutstandingGrants::setPrograms(std::set<ProgramId> programs, TimePoint askedAt)
{
    if (!m_lastAttestationAt || askedAt < *m_lastAttestationAt)
        return;
    m_programs = std::move(programs);
    m_queriedAt = askedAt;
}

bool OutstandingGrants::isResolved() const
{
    return !m_lastAttestationAt || (m_programs && m_programs->empty());
}

bool OutstandingGrants::needsQuery(TimePoint now) const
{
    return !isResolved() && (!m_programs || now - m_queriedAt >= queryInterval);
}

bool OutstandingGrants::mayAffect(const ProgramId& program) const
{
    return !isResolved() && (!m_programs || m_programs->contains(program));
}

} // namespace basilpoint
