#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Ids.h"

#include <unordered_map>

namespace basilpoint {

/// Doubles the Retry-After of a program with each refusal.
///
/// With a constant delay a program with a late deadline tries more often, and in the end takes the
/// place of several short ones. Doubling evens the chances and keeps retries from adding load.
class RefusalBackoff {
public:
    /// Records a refusal of the program's first call and returns when it should come again.
    Milliseconds refused(const ProgramId& root, Milliseconds base, TimePoint now);

    /// Whether the program comes earlier than it was told.
    bool isEarly(const ProgramId& root, TimePoint now) const;

    void forget(const ProgramId& root) { m_refused.erase(root); }
    void sweep(TimePoint now);
    std::size_t size() const { return m_refused.size(); }

private:
    struct Refusal {
        unsigned count = 0;
        TimePoint comeAfter;
    };

    std::unordered_map<ProgramId, Refusal> m_refused;
};

} // namespace basilpoint
