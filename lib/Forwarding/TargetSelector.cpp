#include "basilpoint/Forwarding/TargetSelector.h"

#include <algorithm>
#include <cassert>

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

double TargetSelector::cost(const Registration& target, const TargetQuery& query) const
{
    unsigned calls = inFlight(target.id);
    double total = costPerCall * calls;
    if (calls >= target.slots)
        total += waitPerCall * (calls - target.slots + 1);
    if (target.id != query.holder)
        total += static_cast<double>(query.heldTokens) / prefillTokensPerMillisecond;
    if (target.dataCentre != query.dataCentre)
        total += otherDataCentreCost;
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
        double total = cost(*target, query) + jitter(m_random);
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
