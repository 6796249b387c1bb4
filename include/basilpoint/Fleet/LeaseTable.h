#pragma once

#include "basilpoint/Support/Clock.h"

#include <map>
#include <string>

namespace basilpoint {

/// Exclusive leases by name, kept by the daemon that coordinates them for the fleet.
///
/// A holder that crashes delays others by at most one lease time.
class LeaseTable {
public:
    explicit LeaseTable(Milliseconds leaseTime)
        : m_leaseTime(leaseTime)
    {
    }

    /// Acquires the lease \p name, or renews it if \p holder already has it. \returns whether \p holder has the lease.
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
