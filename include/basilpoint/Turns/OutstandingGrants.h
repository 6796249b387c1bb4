#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Ids.h"

#include <optional>
#include <set>

namespace basilpoint {

/// Tells whose accounts may lack tokens that were granted while accounts could not be changed.
class OutstandingGrants {
public:
    /// \param mayHaveGivenWord an earlier lifetime of this daemon may have given its word shortly before \p now.
    OutstandingGrants(bool mayHaveGivenWord, TimePoint now);

    /// This daemon gave its word about an account, by which others may grant tokens.
    void wordGiven(TimePoint now);

    /// The keepers named all programs with tokens that are not accounted for, as they were at \p askedAt or
    /// later. Accounts could be changed again by then.
    void programsNamed(std::set<ProgramId> programs, TimePoint askedAt);

    /// Whether the keepers should be asked for such programs.
    bool needsNames(TimePoint now) const;

    /// Whether the program's account may lack granted tokens.
    bool covers(const ProgramId&) const;

private:
    bool isOver() const;

    std::optional<TimePoint> m_lastWord;
    /// Empty if they are not known since the last word.
    std::optional<std::set<ProgramId>> m_programs;
    TimePoint m_namedAt = TimePoint::min();
};

} // namespace basilpoint
