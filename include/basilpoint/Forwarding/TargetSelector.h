#pragma once

#include "basilpoint/Forwarding/AffinityMap.h"
#include "basilpoint/Forwarding/PromptCacheMap.h"
#include "basilpoint/Support/Random.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace basilpoint {

/// How a call ended, with regard to its target.
enum class TargetOutcome {
    /// The target answered.
    Answered,
    /// The target refused the call without running it.
    Refused,
    /// The target was unreachable, or the answer broke off.
    Failed,
    /// The caller disconnected or the deadline passed, which indicates nothing about the target.
    Abandoned,
};

/// Duration of a call at a target, comparable among calls of the same kind.
struct CallTiming {
    /// Name of a group of similar calls.
    std::string kind;
    /// Time by which targets are compared: between two events of a stream, or of the whole call otherwise.
    double milliseconds = 0;
    /// Time of the whole call; empty while it is running.
    std::optional<double> totalMilliseconds {};
};

/// Criteria by which to choose a target for a call.
struct TargetQuery {
    ServiceId service;
    /// Name of a group of similar calls, as in \ref CallTiming.
    std::string kind;
    DataCentreId dataCentre;
    /// Target that has most of the call's prompt in its cache; empty if none is known.
    TargetId cacheHolder;
    /// Number of prompt tokens in the cache of \ref cacheHolder.
    TokenCount cachedTokens = 0;
    /// Number of tokens of the whole prompt; 0 if not known.
    TokenCount promptTokens = 0;
    /// Targets to which this call has already been sent.
    std::set<TargetId> tried;
    /// If set, the target is chosen by a hash of this value and not by its cost, so that all daemons choose the same one.
    std::optional<std::uint64_t> placement {};

    /// Whether costs include what earlier calls show of cached prompt parts and affinity keys. See RouteTable::managesRoom().
    bool isManaged = false;
    /// Prompt tokens that targets have read in calls that shared parts with this one.
    CachedTokens cachedParts {};
    /// Target that has handled the call's affinity key lately; empty if there is none.
    TargetId affinityHolder {};

    /// Number of prompt tokens that the target is known to have in its cache.
    TokenCount cachedAt(const TargetId& target) const
    {
        TokenCount tokens = target == cacheHolder ? cachedTokens : 0;
        auto parts = cachedParts.find(target);
        return parts == cachedParts.end() ? tokens : std::max(tokens, parts->second);
    }
};

/// Chooses a target by this daemon's own calls there, the cached prompt, and the data centre.
///
/// Designed for many daemons, each of which sees only its part of the load. The target that has the prompt cached is kept
/// while it has free slots; other calls go to the least loaded target nearby. Targets that become slow or are loaded by
/// other daemons can still look healthy, so the time by which calls exceed the baseline is added to a target's cost. It
/// decays within seconds, so that the target is tried again.
class TargetSelector {
public:
    explicit TargetSelector(RandomEngine::result_type seed);

    /// The best of \p candidates; null if all of them have been tried. Suspended targets are chosen last.
    const Registration* choose(const std::vector<const Registration*>& candidates, const TargetQuery&, TimePoint now);

    /// The best \p n of \p candidates, the best first, as choose() orders them.
    std::vector<const Registration*> chooseBest(const std::vector<const Registration*>& candidates, const TargetQuery&, std::size_t n, TimePoint now);

    void sent(const TargetId&);
    void ended(const TargetId&, TargetOutcome, TimePoint now);

    /// Records the timing of a call at the target; may be called during the call, and once more after it.
    void recordTiming(const TargetId&, const CallTiming&, TimePoint now);

    /// Completes a query for a managed service by what earlier calls with the same prompt parts or affinity key show.
    /// \param affinityKey empty if the call has none, or its route does not regard it.
    void recall(TargetQuery&, const std::vector<PromptPart>&, const std::string& affinityKey, TimePoint now) const;
    /// Records for \ref recall() that the target has read the prompt of a call.
    void remember(const TargetId&, const std::vector<PromptPart>&, const std::string& affinityKey, TimePoint now);

    void forget(const TargetId&);

    unsigned inFlight(const TargetId&) const;
    bool isSuspended(const TargetId&, TimePoint now) const;

private:
    struct Load {
        unsigned inFlight = 0;
        unsigned failuresInRow = 0;
        TimePoint suspendedUntil = TimePoint::min();
        /// Natural logarithm of the ratio of its calls' time to the baseline, as of \ref slownessAt.
        double slowness = 0;
        TimePoint slownessAt = TimePoint::min();
    };

    /// Moving averages over all targets for one kind of calls.
    struct Baseline {
        double logMilliseconds = 0;
        double totalMilliseconds = 0;
    };

    static double slownessOf(const Load&, TimePoint now);
    double managedCost(const Registration&, const TargetQuery&, TimePoint now) const;
    double cost(const Registration&, const TargetQuery&, TimePoint now) const;

    std::unordered_map<TargetId, Load> m_targets;
    std::map<std::string, Baseline> m_baselines;
    PromptCacheMap m_promptCaches;
    AffinityMap m_affinities;
    RandomEngine m_random;
};

} // namespace basilpoint
