#pragma once

#include "basilpoint/Support/Clock.h"

#include <cstdint>

namespace basilpoint {

/// Adaptive limit of the concurrent calls at one replica.
///
/// A call queued inside an engine can no longer be routed elsewhere or reordered. Therefore, when
/// two successive reports show queued calls, the limit decreases to the number of running calls. It
/// increases by one per report while nothing is queued and the limit is nearly reached.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(unsigned maxRunning)
        : m_max(maxRunning)
        , m_limit(maxRunning)
    {
    }

    /// Adjusts the limit by one load report.
    void reported(std::uint64_t running, std::uint64_t waiting);

    unsigned value() const { return m_limit; }

private:
    unsigned m_max;
    unsigned m_limit;
    bool m_queued = false;
};

} // namespace basilpoint
