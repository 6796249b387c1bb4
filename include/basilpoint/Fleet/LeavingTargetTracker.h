#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Ids.h"

#include <map>
#include <set>
#include <vector>

namespace basilpoint {

/// Source of the information that a target is shutting down.
enum class LeavingSource {
    PlatformList,
    TargetReport,
    Operator,
    Peer,
};

/// Tracks targets that are shutting down. The first notice from any source counts; an outdated list does not undo it.
class LeavingTargetTracker {
public:
    struct Notice {
        LeavingSource source;
        TimePoint since;
    };

    /// \returns whether this is the first notice, which must be announced to the other daemons.
    bool markLeaving(const TargetId&, LeavingSource, TimePoint now);

    /// Handles the platform's list of running targets. A target that was absent from the list and is listed again is
    /// a new one under the same id, and is admitted.
    void updateListed(const std::set<TargetId>& present);

    /// Removes the notice, so that the target gets new work again.
    void readmit(const TargetId& target) { m_leaving.erase(target); }

    /// Whether the target may get new work.
    bool admitsWork(const TargetId& target) const { return !m_leaving.contains(target); }

    const Notice* find(const TargetId&) const;

private:
    struct Entry {
        Notice firstNotice;
        bool wasAbsent = false;
    };

    std::map<TargetId, Entry> m_leaving;
};

} // namespace basilpoint
