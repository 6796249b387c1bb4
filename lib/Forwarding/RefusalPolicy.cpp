#include "basilpoint/Forwarding/RefusalPolicy.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <vector>

namespace basilpoint {

// Waits of this age count in full. A gateway places a few calls a second, so a shorter window would mostly be empty.
static constexpr Milliseconds freshFor { 1'000 };
// Waits of this age count no more, so that refusals end when their cause has ended.
static constexpr Milliseconds forgottenAfter { 2'000 };
// Waits that are kept for each class; a gateway places fewer calls of one class within two seconds.
static constexpr std::size_t maxWaits = 256;
// One of this many first turns that would be refused tries, so that the policy learns when waits end.
static constexpr unsigned refusalsPerTrial = 10;
// Turns of a long program. How many turns a program has is not known at its first one, and each of them waits.
static constexpr int turnsOfLongProgram = 9;
// The same for organisations within their share, whose programs get the benefit of the doubt.
static constexpr int turnsOfShortProgram = 3;
// A tool call takes about as long as a turn, so that each turn with its tool call takes twice the usual time.
static constexpr int timePerTurn = 2;
// Demands are compared over some five seconds, since a gateway sees a few calls a second.
static constexpr double demandKeptEachSecond = 0.8;
// Organisations with less than this have not called for some twenty seconds.
static constexpr double leastDemand = 0.01;
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

std::optional<RoomRefusal> roomRefusalFrom(std::string_view text)
{
    for (RoomRefusal it : { RoomRefusal::TooLate, RoomRefusal::NoTimeToSpare, RoomRefusal::QueueFull })
        if (toString(it) == text)
            return it;
    return std::nullopt;
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

Milliseconds RefusalPolicy::timeLeft(const RoomArrival& arrival)
{
    // Later turns are worth something after the program's time too, since all work of the turns before is invested in them.
    if (arrival.waitClass.isLaterTurn || !arrival.programTimeLeft)
        return arrival.timeLeft;
    return std::min(arrival.timeLeft, *arrival.programTimeLeft);
}

// Wait that the program of a first turn can afford before each of its turns.
Milliseconds RefusalPolicy::timeToSpare(const RoomArrival& arrival, Milliseconds usualTime, bool isWithinShare)
{
    if (arrival.waitClass.isLaterTurn || !arrival.programTimeLeft)
        return Milliseconds::max();
    int turns = isWithinShare ? turnsOfShortProgram : turnsOfLongProgram;
    return std::max(*arrival.programTimeLeft / turns - timePerTurn * usualTime, usualTime / 2);
}

// What an organisation within its share asks for is not why calls wait, so only waits of its own count. Where others are the reason,
// a first turn brings later ones, which will wait as those of the programs that run now.
RefusalPolicy::Estimate RefusalPolicy::expectedWaitOf(const RoomArrival& arrival, bool isWithinShare, TimePoint now) const
{
    Estimate estimate = estimateOf(arrival.waitClass, now);
    if (arrival.longestWait > estimate.wait)
        estimate = { arrival.longestWait, Milliseconds(0) };
    if (arrival.waitClass.isLaterTurn || isWithinShare)
        return estimate;
    for (const auto& [waitClass, waits] : m_waits) {
        Estimate later = waitClass.isLaterTurn ? estimateOf(waitClass, now) : Estimate {};
        if (later.wait > estimate.wait)
            estimate = later;
    }
    return estimate;
}

// Divides the calls that got room by max-min fairness: organisations that ask for less than an equal part get all, the others
// divide the rest equally.
bool RefusalPolicy::isWithinShare(const std::string& organisation) const
{
    auto own = m_demands.find(organisation);
    if (m_demands.size() < 2 || own == m_demands.end())
        return false;
    double left = 0;
    std::vector<double> demands;
    for (const auto& [name, demand] : m_demands) {
        left += demand.placed;
        demands.push_back(demand.arrived);
    }
    std::sort(demands.begin(), demands.end());
    std::size_t sharers = demands.size();
    for (double it : demands) {
        double level = left / static_cast<double>(sharers);
        if (it >= level)
            return own->second.arrived < level;
        left -= it;
        --sharers;
    }
    return true;
}

RoomDecision RefusalPolicy::arrived(const RoomArrival& arrival, TimePoint now)
{
    forgetOld(now);
    ++m_demands[arrival.waitClass.organisation].arrived;
    bool isWithin = isWithinShare(arrival.waitClass.organisation);
    Estimate estimate = expectedWaitOf(arrival, isWithin, now);
    RoomDecision decision;
    decision.usualTime = usualTime(arrival.kind);
    decision.expectedWait = estimate.wait;
    decision.estimateAge = estimate.age;
    Milliseconds spare = timeToSpare(arrival, decision.usualTime, isWithin);
    Milliseconds limit = timeLeft(arrival) - decision.usualTime;
    decision.maxWait = std::min(limit, spare);
    if (decision.expectedWait >= limit)
        decision.refusal = RoomRefusal::TooLate;
    else if (decision.expectedWait > spare)
        decision.refusal = RoomRefusal::NoTimeToSpare;
    // Without any wait there is nothing to learn.
    if (!decision.refusal || arrival.waitClass.isLaterTurn || decision.expectedWait.count() == 0 || ++m_refusedFirstTurns % refusalsPerTrial != 0)
        return decision;
    decision.refusal.reset();
    decision.isTrial = true;
    return decision;
}

void RefusalPolicy::placed(const WaitClass& waitClass, Milliseconds wait, TimePoint now)
{
    addWait(waitClass, wait, now);
    ++m_demands[waitClass.organisation].placed;
}

void RefusalPolicy::gaveUp(const WaitClass& waitClass, Milliseconds wait, TimePoint now)
{
    addWait(waitClass, wait, now);
}

void RefusalPolicy::addWait(const WaitClass& waitClass, Milliseconds wait, TimePoint now)
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
    double kept = m_sweptAt == TimePoint::min() ? 1 : std::pow(demandKeptEachSecond, std::chrono::duration<double>(now - m_sweptAt).count());
    m_sweptAt = now;
    for (auto& [name, demand] : m_demands) {
        demand.arrived *= kept;
        demand.placed *= kept;
    }
    std::erase_if(m_demands, [](const auto& it) { return it.second.arrived < leastDemand; });
    std::erase_if(m_waits, [&](const auto& it) { return now - it.second.back().at >= forgottenAfter; });
}

} // namespace basilpoint
