#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Ids.h"

#include <map>
#include <set>
#include <vector>

namespace basilpoint {

/// Who said that a target leaves.
enum class LeavingSource {
    PlatformList,
    TargetReport,
    Operator,
    Peer,
};

/// Keeps which targets leave. The first notice from any source counts; a list that lags does not undo it.
class LeavingTargetTracker {
public:
    struct Notice {
        LeavingSource source;
        TimePoint since;
    };

    /// \returns whether this is the first notice, which is to be told to the other daemons.
    bool markLeaving(const TargetId&, LeavingSource, TimePoint now);

    /// The platform's list of targets that are there. A target that was away and is listed again is a new one.
    void listed(const std::set<TargetId>& present);

    /// An operator takes the target in again.
    void readmit(const TargetId& target) { m_leaving.erase(target); }

    /// Whether the target may get new work.
    bool admitsWork(const TargetId& target) const { return !m_leaving.contains(target); }

    const Notice* find(const TargetId&) const;

private:
    struct Entry {
        Notice firstNotice;
        bool wasAway = false;
    };

    std::map<TargetId, Entry> m_leaving;
};

} // namespace basilpoint
