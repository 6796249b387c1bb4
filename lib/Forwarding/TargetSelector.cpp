#include "basilpoint/Forwarding/TargetSelector.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace basilpoint {

// Costs are in milliseconds of a call's latency.

// Prompt tokens that an engine reads in a millisecond; between the rates of the engines in use.
static constexpr double prefillTokensPerMillisecond = 150;
// Way to another data centre and back.
static constexpr double otherDataCentreCost = 12;
// What one more call of this daemon at the target stands for, since the others' calls grow alike.
static constexpr double costPerCall = 6;
// A call that finds no free place waits for a part of another one's time.
static constexpr double waitPerCall = 40;
// Random part that keeps daemons from choosing alike.
static constexpr double jitterCost = 1;
// Weight of the latest call in what is usual, and in a target's slowness; two calls in a row tell a slow target.
static constexpr double usualWeight = 0.05;
static constexpr double slownessWeight = 0.5;
// Calls differ by as much among themselves; what is within it, e times to either side at most, is no sign.
static constexpr double usualSpread = 0.5;
static constexpr double greatestSample = 2.5;
// Slowness fades by half in this time, so that a target at five times the usual is tried again after some 3 s.
static constexpr Milliseconds slownessHalfLife { 2'000 };
static constexpr Milliseconds suspensionAfterRefusal { 30 };
static constexpr Milliseconds suspensionAfterFailure { 400 };
static constexpr Milliseconds longestSuspension { 4'000 };

TargetSelector::TargetSelector(RandomEngine::result_type seed)
    : m_random(seed)
{
}

unsigned TargetSelector::inFlight(const TargetId& id) const
{
    auto it = m_targets.find(id);
    return it == m_targets.end() ? 0 : it->second.inFlight;
}

double TargetSelector::slownessOf(const Load& load, TimePoint now)
{
    if (load.slownessAt == TimePoint::min())
        return 0;
    std::chrono::duration<double> age = now - load.slownessAt;
    return load.slowness * std::exp2(-age / std::chrono::duration<double>(slownessHalfLife));
}

void TargetSelector::paceSeen(const TargetId& id, const CallPace& pace, TimePoint now)
{
    auto target = m_targets.find(id);
    if (target == m_targets.end())
        return;
    Load& load = target->second;
    double sample = std::log(std::max(pace.milliseconds, 0.1));
    auto [it, isNew] = m_usual.try_emplace(pace.kind, Usual { sample, 0 });
    Usual& usual = it->second;
    double excess = std::clamp(sample - usual.logOfPace, -greatestSample, greatestSample);
    // Bounded, so that the calls of one slow target move what is usual by little.
    usual.logOfPace += usualWeight * std::clamp(excess, -1.0, 1.0);
    if (pace.wholeMilliseconds && usual.wholeMilliseconds == 0)
        usual.wholeMilliseconds = *pace.wholeMilliseconds;
    else if (pace.wholeMilliseconds)
        usual.wholeMilliseconds += usualWeight * (std::min(*pace.wholeMilliseconds, 3 * usual.wholeMilliseconds) - usual.wholeMilliseconds);
    double before = slownessOf(load, now);
    load.slowness = before + slownessWeight * (excess - before);
    load.slownessAt = now;
}

double TargetSelector::cost(const Registration& target, const TargetQuery& query, TimePoint now) const
{
    auto load = m_targets.find(target.id);
    auto usual = m_usual.find(query.kind);
    double slowness = load == m_targets.end() ? 0 : slownessOf(load->second, now);
    unsigned calls = inFlight(target.id);
    double total = costPerCall * calls;
    if (calls >= target.slots)
        total += waitPerCall * (calls - target.slots + 1);
    if (target.id != query.cacheHolder)
        total += static_cast<double>(query.cachedTokens) / prefillTokensPerMillisecond;
    if (target.dataCentre != query.dataCentre)
        total += otherDataCentreCost;
    if (slowness > usualSpread && usual != m_usual.end())
        total += std::expm1(slowness - usualSpread) * usual->second.wholeMilliseconds;
    return total;
}

const Registration* TargetSelector::choose(const std::vector<const Registration*>& candidates, const TargetQuery& query, TimePoint now)
{
    const Registration* best = nullptr;
    double least = 0;
    bool isBestSuspended = false;
    std::uniform_real_distribution<double> jitter(0, jitterCost);
    for (const Registration* target : candidates) {
        if (query.tried.contains(target->id))
            continue;
        auto load = m_targets.find(target->id);
        // Suspended targets are the last resort, so that a fault of all of them shuts none out.
        bool suspended = load != m_targets.end() && now < load->second.suspendedUntil;
        double total = cost(*target, query, now) + jitter(m_random);
        if (!best || std::pair(suspended, total) < std::pair(isBestSuspended, least)) {
            best = target;
            least = total;
            isBestSuspended = suspended;
        }
    }
    return best;
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
        load.suspendedUntil = now + std::min(longestSuspension, suspensionAfterFailure * load.failuresInRow);
        break;
    case TargetOutcome::Abandoned:
        break;
    }
}

} // namespace basilpoint
