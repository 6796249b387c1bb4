#pragma once

#include "basilpoint/Forwarding/TargetDirectory.h"
#include "basilpoint/Support/Random.h"

#include <set>
#include <unordered_map>

namespace basilpoint {

/// How a call at a target ended, as far as it tells of the target.
enum class TargetOutcome {
    /// It answered.
    Answered,
    /// It refused the call without running it.
    Refused,
    /// It could not be reached, or broke off.
    Failed,
    /// The caller left or the call's time was over; says nothing of the target.
    Abandoned,
};

/// What a call needs of a target.
struct TargetQuery {
    ServiceId service;
    DataCentreId dataCentre;
    /// Target that holds most of the call's prompt; empty if none is known.
    TargetId holder;
    /// Prompt tokens that the holder has in its cache.
    TokenCount heldTokens = 0;
    /// Targets that this call was sent to already.
    std::set<TargetId> tried;
};

/// Chooses a target by this daemon's own calls there, by what its cache holds, and by place.
///
/// Answers to a steady load on many daemons, each of which sees only its own part: the holder of a
/// line's prompt is kept while it has room, the least loaded near target takes the rest.
class TargetSelector {
public:
    explicit TargetSelector(RandomEngine::result_type seed);

    /// The best of \p candidates; null if all were tried or are suspended.
    const Registration* choose(const std::vector<const Registration*>& candidates, const TargetQuery&, TimePoint now);

    void sent(const TargetId&);
    void ended(const TargetId&, TargetOutcome, TimePoint now);
    void forget(const TargetId& id) { m_targets.erase(id); }

    unsigned inFlight(const TargetId&) const;

private:
    struct Load {
        unsigned inFlight = 0;
        unsigned failuresInRow = 0;
        TimePoint suspendedUntil = TimePoint::min();
    };

    double cost(const Registration&, const TargetQuery&) const;

    std::unordered_map<TargetId, Load> m_targets;
    RandomEngine m_random;
};

} // namespace basilpoint
