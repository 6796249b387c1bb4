#include "basilpoint/Turns/OutstandingGrants.h"

#include <algorithm>
#include <utility>

namespace basilpoint {

// How often to ask again while programs with outstanding grants remain.
static constexpr Milliseconds queryInterval { 2'000 };
static constexpr Milliseconds minRetryDelay { 200 };

OutstandingGrants::OutstandingGrants(bool mayHaveAttested, TimePoint now)
{
    if (mayHaveAttested)
        m_lastAttestationAt = now;
}

// A grant of more than one turn's tokens needs a binding attestation from every daemon. A daemon gives none once it
// reaches the store again, so grants that are still being taken then cannot use it. A list requested after the last
// attestation is therefore complete.
void OutstandingGrants::attestationGiven(TimePoint now)
{
    m_lastAttestationAt = now;
    m_isEarlierOnly = false;
    m_programs.reset();
}

void OutstandingGrants::noEarlierAttestations()
{
    if (m_isEarlierOnly)
        m_lastAttestationAt.reset();
}

void OutstandingGrants::setPrograms(std::set<ProgramId> programs, TimePoint askedAt)
{
    if (!m_lastAttestationAt || askedAt < *m_lastAttestationAt)
        return;
    m_programs = std::move(programs);
    m_queriedAt = askedAt;
    m_retryDelay = Milliseconds(0);
}

void OutstandingGrants::queryFailed(TimePoint now)
{
    m_retryDelay = std::clamp(m_retryDelay * 2, minRetryDelay, queryInterval);
    m_retryAt = now + m_retryDelay;
}

bool OutstandingGrants::isResolved() const
{
    return !m_lastAttestationAt || (m_programs && m_programs->empty());
}

bool OutstandingGrants::needsQuery(TimePoint now) const
{
    return !isResolved() && now >= m_retryAt && (!m_programs || now - m_queriedAt >= queryInterval);
}

bool OutstandingGrants::mayAffect(const ProgramId& program) const
{
    return !isResolved() && (!m_programs || m_programs->contains(program));
}

} // namespace basilpoint
