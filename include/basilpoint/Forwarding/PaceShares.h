#pragma once

#include "basilpoint/Support/Clock.h"

#include <map>

namespace basilpoint {

/// Keeps the shares of fast and slow targets in this daemon's calls proportional to their paces.
///
/// A daemon has too few calls at each target to see its load, but enough at all targets of one pace together. These have one
/// surcharge, so it does not draw calls away from targets that have their prompts cached to others of the same pace.
class PaceShares {
public:
    /// Sets the slots of all targets by steps of pace.
    void setSlots(std::map<int, double> slots) { m_slots = std::move(slots); }

    /// Records that a call was sent to a target; \p milliseconds is the time that it usually takes at the target's pace.
    void sent(int step, double milliseconds, TimePoint now);

    /// How much more work per slot targets of a step were sent lately than all together, as a share of the latter.
    double excess(int step, TimePoint now) const;

private:
    struct Work {
        double milliseconds = 0;
        TimePoint at;
    };

    static double workOf(const Work&, TimePoint now);

    std::map<int, double> m_slots;
    std::map<int, Work> m_work;
};

} // namespace basilpoint
