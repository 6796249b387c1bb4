#pragma once

#include "basilpoint/Forwarding/TargetDirectory.h"
#include "basilpoint/Support/Random.h"

#include <map>
#include <optional>
#include <set>
#include <string>
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

/// How fast a target worked on a call, to be compared with others on calls of the same kind.
struct CallPace {
    /// Name of calls that are alike.
    std::string kind;
    /// Time that tells the target's pace best: between two events of a stream, else of the whole call.
    double milliseconds = 0;
    /// Time of the whole call; empty while it goes on.
    std::optional<double> wholeMilliseconds {};
};

/// What a call needs of a target.
struct TargetQuery {
    ServiceId service;
    /// Name of calls that are alike, as in \ref CallPace.
    std::string kind;
    DataCentreId dataCentre;
    /// Target that holds most of the call's prompt; empty if none is known.
    TargetId cacheHolder;
    /// Prompt tokens that the holder has in its cache.
    TokenCount cachedTokens = 0;
    /// Targets that this call was sent to already.
    std::set<TargetId> tried;
};

/// Chooses a target by this daemon's own calls there, by what its cache holds, and by place.
///
/// Answers to a steady load on many daemons, each of which sees only its own part: the holder of a
/// line's prompt is kept while it has room, the least loaded near target takes the rest. Answers as well to
/// targets that turn slow, or are loaded by others, while they look healthy: what a target's calls took beyond
/// the usual counts against it, and is forgotten in seconds, so that it is tried again.
class TargetSelector {
public:
    explicit TargetSelector(RandomEngine::result_type seed);

    /// The best of \p candidates; null if all were tried or are suspended.
    const Registration* choose(const std::vector<const Registration*>& candidates, const TargetQuery&, TimePoint now);

    void sent(const TargetId&);
    void ended(const TargetId&, TargetOutcome, TimePoint now);

    /// A call at the target has shown its pace; may be told before the call ends, and once more after it.
    void paceSeen(const TargetId&, const CallPace&, TimePoint now);
    void forget(const TargetId& id) { m_targets.erase(id); }

    unsigned inFlight(const TargetId&) const;

private:
    struct Load {
        unsigned inFlight = 0;
        unsigned failuresInRow = 0;
        TimePoint suspendedUntil = TimePoint::min();
        /// Logarithm of how many times as long as usual its calls took, as of \ref slownessAt.
        double slowness = 0;
        TimePoint slownessAt = TimePoint::min();
    };

    /// What is usual for one kind of calls at all targets.
    struct Usual {
        double logOfPace = 0;
        double wholeMilliseconds = 0;
    };

    static double slownessOf(const Load&, TimePoint now);
    double cost(const Registration&, const TargetQuery&, TimePoint now) const;

    std::unordered_map<TargetId, Load> m_targets;
    std::map<std::string, Usual> m_usual;
    RandomEngine m_random;
};

} // namespace basilpoint
