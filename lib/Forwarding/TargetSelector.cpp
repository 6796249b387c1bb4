#include "basilpoint/Forwarding/TargetSelector.h"

#include "basilpoint/Support/Hash.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace basilpoint {

// Costs are in milliseconds of a call's latency.

// Prefill rate, between the rates of the engines in use.
static constexpr double prefillTokensPerMillisecond = 150;
// Round trip to another data centre.
static constexpr double otherDataCentreCost = 12;
// Cost of each call of this daemon in flight at the target. It accounts for the calls of other daemons too: this daemon
// does not see those, but their number grows with that of its own.
static constexpr double costPerCall = 6;
// A call without a free slot waits for part of the duration of a running call.
static constexpr double costPerQueuedCall = 40;
// Random part, so that daemons do not all choose the same target.
static constexpr double jitterCost = 1;
// Weights of the latest call in the baseline and in a target's slowness. Two slow calls in a row suffice to detect a
// slow target.
static constexpr double baselineWeight = 0.05;
static constexpr double slownessWeight = 0.5;
// Normal variation of calls as a natural logarithm; a smaller excess over the baseline is ignored.
static constexpr double normalSpread = 0.5;
// Bounds the excess of one call, as a natural logarithm.
static constexpr double maxExcess = 2.5;
// A target at five times the baseline is tried again after about 3 s.
static constexpr Milliseconds slownessHalfLife { 2'000 };
// Time that a target saves if it has handled the affinity key lately, as a share of the usual time of such calls. Less than
// the wait behind one other call, so that a busy target does not keep its keys.
static constexpr double affinityShare = 0.3;
static constexpr Milliseconds suspensionAfterRefusal { 30 };
static constexpr Milliseconds suspensionAfterFailure { 400 };
static constexpr Milliseconds maxSuspension { 4'000 };

TargetSelector::TargetSelector(RandomEngine::result_type seed)
    : m_random(seed)
{
}

unsigned TargetSelector::inFlight(const TargetId& id) const
{
    auto it = m_targets.find(id);
    return it == m_targets.end() ? 0 : it->second.inFlight;
}

bool TargetSelector::isSuspended(const TargetId& id, TimePoint now) const
{
    auto it = m_targets.find(id);
    return it != m_targets.end() && now < it->second.suspendedUntil;
}

double TargetSelector::slownessOf(const Load& load, TimePoint now)
{
    if (load.slownessAt == TimePoint::min())
        return 0;
    std::chrono::duration<double> age = now - load.slownessAt;
    return load.slowness * std::exp2(-age / std::chrono::duration<double>(slownessHalfLife));
}

void TargetSelector::recordTiming(const TargetId& id, const CallTiming& timing, TimePoint now)
{
    auto target = m_targets.find(id);
    if (target == m_targets.end())
        return;
    Load& load = target->second;
    double sample = std::log(std::max(timing.milliseconds, 0.1));
    auto [it, isNew] = m_baselines.try_emplace(timing.kind, Baseline { sample, 0 });
    Baseline& baseline = it->second;
    double excess = std::clamp(sample - baseline.logMilliseconds, -maxExcess, maxExcess);
    // Bounded, so that calls of one slow target hardly move the baseline.
    baseline.logMilliseconds += baselineWeight * std::clamp(excess, -1.0, 1.0);
    if (timing.totalMilliseconds && baseline.totalMilliseconds == 0)
        baseline.totalMilliseconds = *timing.totalMilliseconds;
    else if (timing.totalMilliseconds)
        baseline.totalMilliseconds += baselineWeight * (std::min(*timing.totalMilliseconds, 3 * baseline.totalMilliseconds) - baseline.totalMilliseconds);
    double before = slownessOf(load, now);
    load.slowness = before + slownessWeight * (excess - before);
    load.slownessAt = now;
}

void TargetSelector::recall(TargetQuery& query, const std::vector<PromptPart>& parts, const std::string& affinityKey, TimePoint now) const
{
    query.cachedParts = m_promptCaches.cached(parts);
    if (!affinityKey.empty())
        query.affinityHolder = m_affinities.holder(affinityKey, now);
}

void TargetSelector::remember(const TargetId& id, const std::vector<PromptPart>& parts, const std::string& affinityKey, TimePoint now)
{
    m_promptCaches.read(id, parts);
    if (!affinityKey.empty())
        m_affinities.handled(affinityKey, id, now);
}

void TargetSelector::forget(const TargetId& id)
{
    m_targets.erase(id);
    m_promptCaches.forget(id);
    m_affinities.forget(id);
}

double TargetSelector::managedCost(const Registration& target, const TargetQuery& query, TimePoint now) const
{
    auto load = m_targets.find(target.id);
    auto baseline = m_baselines.find(query.kind);
    double usualMilliseconds = baseline == m_baselines.end() ? 0 : baseline->second.totalMilliseconds;
    double slowness = load == m_targets.end() ? 0 : slownessOf(load->second, now);
    unsigned calls = load == m_targets.end() ? 0 : load->second.inFlight;
    double total = costPerCall * calls;
    if (calls >= target.slots)
        total += costPerQueuedCall * (calls - target.slots + 1);
    // Callers that state parts may not state the length of the whole prompt.
    TokenCount cached = query.cachedAt(target.id);
    TokenCount prompt = std::max(query.promptTokens, query.cachedTokens);
    total += (static_cast<double>(prompt) - static_cast<double>(cached)) / prefillTokensPerMillisecond;
    if (target.dataCentre != query.dataCentre)
        total += otherDataCentreCost;
    if (slowness > normalSpread)
        total += std::expm1(slowness - normalSpread) * usualMilliseconds;
    if (!query.affinityHolder.empty() && target.id == query.affinityHolder)
        total -= affinityShare * usualMilliseconds;
    return total;
}

double TargetSelector::cost(const Registration& target, const TargetQuery& query, TimePoint now) const
{
    if (query.isManaged)
        return managedCost(target, query, now);
    auto load = m_targets.find(target.id);
    auto baseline = m_baselines.find(query.kind);
    double slowness = load == m_targets.end() ? 0 : slownessOf(load->second, now);
    unsigned calls = inFlight(target.id);
    double total = costPerCall * calls;
    if (calls >= target.slots)
        total += costPerQueuedCall * (calls - target.slots + 1);
    total += static_cast<double>(query.cachedTokens - query.cachedAt(target.id)) / prefillTokensPerMillisecond;
    if (target.dataCentre != query.dataCentre)
        total += otherDataCentreCost;
    if (slowness > normalSpread && baseline != m_baselines.end())
        total += std::expm1(slowness - normalSpread) * baseline->second.totalMilliseconds;
    return total;
}

std::vector<const Registration*> TargetSelector::chooseBest(const std::vector<const Registration*>& candidates, const TargetQuery& query, std::size_t n, TimePoint now)
{
    struct Candidate {
        bool isSuspended;
        double cost;
        const Registration* target;
    };
    std::vector<Candidate> ranked;
    ranked.reserve(candidates.size());
    std::uniform_real_distribution<double> jitter(0, jitterCost);
    for (const Registration* target : candidates) {
        if (query.tried.contains(target->id))
            continue;
        double total = query.placement ? static_cast<double>(hash64(target->id.text(), *query.placement)) : cost(*target, query, now) + jitter(m_random);
        // Suspended targets come last rather than being excluded, so that calls still have a target if all are suspended.
        ranked.push_back({ isSuspended(target->id, now), total, target });
    }
    auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(n, ranked.size()));
    std::partial_sort(ranked.begin(), end, ranked.end(), [](const Candidate& a, const Candidate& b) { return std::pair(a.isSuspended, a.cost) < std::pair(b.isSuspended, b.cost); });
    std::vector<const Registration*> best;
    for (auto it = ranked.begin(); it != end; ++it)
        best.push_back(it->target);
    return best;
}

const Registration* TargetSelector::choose(const std::vector<const Registration*>& candidates, const TargetQuery& query, TimePoint now)
{
    auto best = chooseBest(candidates, query, 1, now);
    return best.empty() ? nullptr : best.front();
}

void TargetSelector::sent(const TargetId& id)
{
    ++m_targets[id].inFlight;
}

void TargetSelector::ended(const TargetId& id, TargetOutcome outcome, TimePoint now)
{
    auto it = m_targets.find(id);
    if (it == m_targets.end())
        return;
    auto& load = it->second;
    if (load.inFlight > 0)
        --load.inFlight;
    switch (outcome) {
    case TargetOutcome::Answered:
        load.failuresInRow = 0;
        load.suspendedUntil = TimePoint::min();
        break;
    case TargetOutcome::Refused:
        load.suspendedUntil = std::max(load.suspendedUntil, now + suspensionAfterRefusal);
        break;
    case TargetOutcome::Failed:
        ++load.failuresInRow;
        load.suspendedUntil = now + std::min(maxSuspension, suspensionAfterFailure * load.failuresInRow);
        break;
    case TargetOutcome::Abandoned:
        break;
    }
}

} // namespace basilpoint
