#pragma once

#include "FleetController.h"

#include "basilpoint/Fleet/LeaseTable.h"

namespace basilpoint {

/// Lets one suspected request at a time run in a pool, whichever daemon sends it.
///
/// Two suspects of two daemons on one replica would both be blamed for its death.
class SuspectLeases {
public:
    SuspectLeases(const Clock&, RandomEngine&, FleetController&);

    /// Suspends until this daemon may run a suspect in \p pool. \returns the lease's token.
    /// Without a coordinator that answers, the run goes on after a time, since a stuck call helps nobody.
    std::string acquire(const std::string& pool);
    void release(const std::string& pool, const std::string& token);

    /// Answers a peer's call for a lease that this daemon coordinates.
    std::string answer(const std::string& body);

private:
    std::string ask(const std::string& pool, const std::string& token, bool acquire);

    const Clock& m_clock;
    RandomEngine& m_random;
    FleetController& m_fleet;
    LeaseTable m_leases;
};

} // namespace basilpoint
