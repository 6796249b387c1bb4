#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Ids.h"

#include <unordered_map>

namespace basilpoint {

/// Exponential Retry-After delay per refused program.
///
/// With a constant delay, a long program with a late deadline would retry more often than short ones, and
/// once admitted would take the capacity of several of them. Doubling the delay gives all programs similar
/// chances and limits the load from retries.
class RefusalBackoff {
public:
    /// Records a refusal of the program's first call and returns the delay before it should retry.
    Milliseconds refused(const ProgramId& root, Milliseconds base, TimePoint now);

    /// Whether the delay of the program's last refusal has not passed yet.
    bool isEarly(const ProgramId& root, TimePoint now) const;

    void forget(const ProgramId& root) { m_refused.erase(root); }
    /// Forgets programs whose delay ended long ago.
    void sweep(TimePoint now);
    std::size_t size() const { return m_refused.size(); }

private:
    struct Refusal {
        unsigned count = 0;
        TimePoint retryAt;
    };

    std::unordered_map<ProgramId, Refusal> m_refused;
};

} // namespace basilpoint
