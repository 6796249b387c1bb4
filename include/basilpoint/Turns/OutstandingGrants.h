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

    /// No earlier lifetime of this daemon has attested an account. Has no effect on attestations of this lifetime.
    void noEarlierAttestations();

    /// Takes the keepers' list of all programs with outstanding grants, which was requested at \p askedAt, when accounts
    /// could be changed again. Ignored if this daemon has attested an account since then.
    void setPrograms(std::set<ProgramId> programs, TimePoint askedAt);

    /// Too few keepers have answered a request for the list. Further requests are made less and less often, since those of
    /// a whole fleet may be what keeps the keepers from answering.
    void queryFailed(TimePoint now);

    /// Whether the keepers should be asked for the list.
    bool needsQuery(TimePoint now) const;

    /// Whether the program's account may be missing granted tokens.
    bool mayAffect(const ProgramId&) const;

    /// Whether no program's account may be missing granted tokens.
    bool isResolved() const;

private:
    std::optional<TimePoint> m_lastAttestationAt;
    /// Not set if the keepers have not been asked since the last attestation.
    std::optional<std::set<ProgramId>> m_programs;
    TimePoint m_queriedAt = TimePoint::min();
    /// Whether all attestations that are tracked would be of earlier lifetimes.
    bool m_isEarlierOnly = true;
    Milliseconds m_retryDelay { 0 };
    TimePoint m_retryAt = TimePoint::min();
};

} // namespace basilpoint
