#pragma once

#include "FleetController.h"

#include "basilpoint/Fleet/LeaseTable.h"

namespace basilpoint {

/// Lets only one suspected request at a time run in a pool, across all daemons.
///
/// If suspected requests of two daemons ran on the same replica, both would be blamed for its crash.
class SuspectLeases {
public:
    SuspectLeases(const Clock&, RandomEngine&, FleetController&);

    /// Suspends until this daemon may run a suspected request in \p pool. \returns the lease's token.
    /// After a time limit the request runs without a lease, so that it is not blocked if no coordinator answers.
    std::string acquire(const std::string& pool);
    void release(const std::string& pool, const std::string& token);

    /// Handles a request to acquire or release a lease that this daemon coordinates.
    std::string answer(const std::string& body);

private:
    std::string callCoordinator(const std::string& pool, const std::string& token, bool acquire);

    const Clock& m_clock;
    RandomEngine& m_random;
    FleetController& m_fleet;
    LeaseTable m_leases;
};

} // namespace basilpoint
