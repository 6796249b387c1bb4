#include "basilpoint/Forwarding/RefusalPolicy.h"

#include <algorithm>
#include <cassert>

namespace basilpoint {

// Waits of this age count in full. A gateway places a few calls a second, so a shorter window would mostly be empty.
static constexpr Milliseconds freshFor { 1'000 };
// Waits of this age count no more, so that refusals end when their cause has ended.
static constexpr Milliseconds forgottenAfter { 2'000 };
// Waits that are kept for each class; a gateway places fewer calls of one class within two seconds.
static constexpr std::size_t maxWaits = 256;
// One of this many first turns that would be refused tries, so that the policy learns when waits end.
static constexpr unsigned refusalsPerTrial = 10;
// Turns of a short program, which are the fewest that its remaining time must suffice for.
static constexpr int turnsOfShortProgram = 3;
// Weight of the latest call in the usual time of its kind.
static constexpr double usualTimeWeight = 0.05;
// A shorter delay would bring a refused call back before a slot can have become free.
static constexpr Milliseconds minRetryAfter { 50 };
// Expected waits are forgotten within this time, so that a longer delay has no reason.
static constexpr Milliseconds maxRetryAfter { 2'000 };

std::string_view toString(RoomRefusal refusal)
{
    switch (refusal) {
    case RoomRefusal::TooLate:
        return "too-late";
    case RoomRefusal::NoTimeToSpare:
        return "no-room";
    case RoomRefusal::QueueFull:
        return "queue-full";
    }
    assert(false && "unhandled enumerator");
    return "";
}

RefusalPolicy::RefusalPolicy(RandomEngine::result_type seed)
    : m_random(seed)
{
}

RefusalPolicy::Estimate RefusalPolicy::estimateOf(const WaitClass& waitClass, TimePoint now) const
{
    auto it = m_waits.find(waitClass);
    if (it == m_waits.end() || it->second.empty())
        return {};
    double sum = 0;
    double weights = 0;
    double newest = 0;
    for (const Wait& wait : it->second) {
        double weight = std::clamp(std::chrono::duration<double>(forgottenAfter - (now - wait.at)) / (forgottenAfter - freshFor), 0.0, 1.0);
        sum += weight * static_cast<double>(wait.wait.count());
        weights += weight;
        newest = std::max(newest, weight);
    }
    if (weights == 0)
        return {};
    // The mean of the waits, which falls to zero as the newest of them ages.
    auto mean = static_cast<Milliseconds::rep>(newest * sum / weights);
    return { Milliseconds(mean), std::chrono::duration_cast<Milliseconds>(now - it->second.back().at) };
}

bool RefusalPolicy::isTooLate(const RoomArrival& arrival, Milliseconds time)
{
    Milliseconds left = arrival.timeLeft;
    // Later turns are worth something after the program's time too, since all work of the turns before is invested in them.
    if (!arrival.waitClass.isLaterTurn && arrival.programTimeLeft)
        left = std::min(left, *arrival.programTimeLeft);
    return time >= left;
}

bool RefusalPolicy::canSpare(const RoomArrival& arrival, Milliseconds wait, Milliseconds usualTime)
{
    return !arrival.programTimeLeft || wait <= *arrival.programTimeLeft - turnsOfShortProgram * usualTime;
}

RoomDecision RefusalPolicy::arrived(const RoomArrival& arrival, TimePoint now)
{
    forgetOld(now);
    Estimate estimate = estimateOf(arrival.waitClass, now);
    RoomDecision decision;
    decision.usualTime = usualTime(arrival.kind);
    decision.estimateAge = arrival.longestWait > estimate.wait ? Milliseconds(0) : estimate.age;
    decision.expectedWait = std::max(estimate.wait, arrival.longestWait);
    bool isFirst = !arrival.waitClass.isLaterTurn;
    if (isTooLate(arrival, decision.expectedWait + decision.usualTime))
        decision.refusal = RoomRefusal::TooLate;
    else if (isFirst && decision.expectedWait.count() > 0 && !canSpare(arrival, decision.expectedWait, decision.usualTime))
        decision.refusal = RoomRefusal::NoTimeToSpare;
    // Without any wait there is nothing to learn.
    if (!decision.refusal || !isFirst || decision.expectedWait.count() == 0 || ++m_refusedFirstTurns % refusalsPerTrial != 0)
        return decision;
    decision.refusal.reset();
    decision.isTrial = true;
    return decision;
}

void RefusalPolicy::waited(const WaitClass& waitClass, Milliseconds wait, TimePoint now)
{
    forgetOld(now);
    auto& waits = m_waits[waitClass];
    waits.push_back({ now, wait });
    if (waits.size() > maxWaits)
        waits.pop_front();
}

void RefusalPolicy::ran(const std::string& kind, Milliseconds time)
{
    auto sample = static_cast<double>(time.count());
    auto [it, isNew] = m_usualTimes.try_emplace(kind, sample);
    if (!isNew)
        it->second += usualTimeWeight * (sample - it->second);
}

Milliseconds RefusalPolicy::usualTime(const std::string& kind) const
{
    auto it = m_usualTimes.find(kind);
    return it == m_usualTimes.end() ? Milliseconds(0) : Milliseconds(static_cast<Milliseconds::rep>(it->second));
}

Milliseconds RefusalPolicy::retryAfter(Milliseconds expectedWait)
{
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    Milliseconds delay(static_cast<Milliseconds::rep>(static_cast<double>(expectedWait.count()) * factor(m_random)));
    return std::clamp(delay, minRetryAfter, maxRetryAfter);
}

// Bounds the memory by the classes of the last seconds.
void RefusalPolicy::forgetOld(TimePoint now)
{
    if (m_sweptAt != TimePoint::min() && now - m_sweptAt < freshFor)
        return;
    m_sweptAt = now;
    std::erase_if(m_waits, [&](const auto& it) { return now - it.second.back().at >= forgottenAfter; });
}

} // namespace basilpoint
