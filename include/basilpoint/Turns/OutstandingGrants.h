#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Ids.h"

#include <optional>
#include <set>

namespace basilpoint {

/// Tells whose accounts may lack tokens that were granted while accounts could not be changed.
class OutstandingGrants {
public:
    /// \param mayHaveAttested an earlier lifetime of this daemon may have given its word shortly before \p now.
    OutstandingGrants(bool mayHaveAttested, TimePoint now);

    /// This daemon gave its word about an account, by which others may grant tokens.
    void attestationGiven(TimePoint now);

    /// The keepers named all programs with tokens that are not accounted for, as they were at \p askedAt or
    /// later. Accounts could be changed again by then.
    void setPrograms(std::set<ProgramId> programs, TimePoint askedAt);

    /// Whether the keepers should be asked for such programs.
    bool needsQuery(TimePoint now) const;

    /// Whether the program's account may lack granted tokens.
    bool mayAffect(const ProgramId&) const;

private:
    bool isResolved() const;

    std::optional<TimePoint> m_lastAttestationAt;
    /// Empty if they are not known since the last word.
    std::optional<std::set<ProgramId>> m_programs;
    TimePoint m_queriedAt = TimePoint::min();
};

} // namespace basilpoint
