#pragma once

#include "basilpoint/Support/Clock.h"

#include <map>
#include <string>

namespace basilpoint {

/// Leases for runs that must not overlap anywhere in the fleet, as their coordinator grants them.
///
/// A holder that dies keeps others waiting for one lease time at most.
class LeaseTable {
public:
    explicit LeaseTable(Milliseconds leaseTime)
        : m_leaseTime(leaseTime)
    {
    }

    /// \returns whether \p holder has the lease \p name from now on; a repeat renews it.
    bool acquire(const std::string& name, const std::string& holder, TimePoint now);

    /// Does nothing if \p holder does not have the lease.
    void release(const std::string& name, const std::string& holder);

private:
    struct Lease {
        std::string holder;
        TimePoint expiresAt;
    };

    Milliseconds m_leaseTime;
    std::map<std::string, Lease> m_leases;
};

} // namespace basilpoint
