#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Ids.h"

#include <optional>
#include <set>

namespace basilpoint {

/// Tracks which programs' accounts may not include tokens that were granted during a store outage.
class OutstandingGrants {
public:
    /// \param mayHaveAttested an earlier lifetime of this daemon may have attested an account shortly before \p now.
    OutstandingGrants(bool mayHaveAttested, TimePoint now);

    /// Records that this daemon attested an account, which lets other daemons take grants.
    void attestationGiven(TimePoint now);

    /// Takes the keepers' list of all programs with outstanding grants, which was requested at \p askedAt, when accounts
    /// could be changed again. Ignored if this daemon has attested an account since then.
    void setPrograms(std::set<ProgramId> programs, TimePoint askedAt);

    /// Whether the keepers should be asked for the list.
    bool needsQuery(TimePoint now) const;

    /// Whether the program's account may be missing granted tokens.
    bool mayAffect(const ProgramId&) const;

private:
    bool isResolved() const;

    std::optional<TimePoint> m_lastAttestationAt;
    /// Not set if the keepers have not been asked since the last attestation.
    std::optional<std::set<ProgramId>> m_programs;
    TimePoint m_queriedAt = TimePoint::min();
};

} // namespace basilpoint
