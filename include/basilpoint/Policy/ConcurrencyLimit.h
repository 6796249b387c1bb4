#pragma once

#include "basilpoint/Support/Clock.h"

#include <cstdint>

namespace basilpoint {

/// Limit of the calls that one replica may have under way, adapted to what the replica can take.
///
/// A call that waits inside an engine can't go elsewhere and takes no part in the queue order. So
/// the limit falls to what the replica runs while it reports waiting calls, and rises by one per
/// report while it reports none and the limit is in use.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(unsigned maxRunning)
        : m_max(maxRunning)
        , m_limit(maxRunning)
    {
    }

    void reported(std::uint64_t running, std::uint64_t waiting);

    unsigned value() const { return m_limit; }

private:
    unsigned m_max;
    unsigned m_limit;
    bool m_queued = false;
};

} // namespace basilpoint
