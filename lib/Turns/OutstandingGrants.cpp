#include "basilpoint/Turns/OutstandingGrants.h"

#include <utility>

namespace basilpoint {

// Programs that are still named are asked for again this often.
static constexpr Milliseconds namesInterval { 2'000 };

OutstandingGrants::OutstandingGrants(bool mayHaveGivenWord, TimePoint now)
{
    if (mayHaveGivenWord)
        m_lastWord = now;
}

// More than one turn's tokens are granted only by the word of every daemon, and one that gave none since it
// reaches the store again gives none to grants that are still being taken. So names that were asked for after
// the last word are complete.
void OutstandingGrants::wordGiven(TimePoint now)
{
    m_lastWord = now;
    m_programs.reset();
}

void OutstandingGrants::programsNamed(std::set<ProgramId> programs, TimePoint askedAt)
{
    if (!m_lastWord || askedAt < *m_lastWord)
        return;
    m_programs = std::move(programs);
    m_namedAt = askedAt;
}

bool OutstandingGrants::isOver() const
{
    return !m_lastWord || (m_programs && m_programs->empty());
}

bool OutstandingGrants::needsNames(TimePoint now) const
{
    return !isOver() && (!m_programs || now - m_namedAt >= namesInterval);
}

bool OutstandingGrants::covers(const ProgramId& program) const
{
    return !isOver() && (!m_programs || m_programs->contains(program));
}

} // namespace basilpoint
