#pragma once

#include "basilpoint/Forwarding/RoomQueue.h"
#include "basilpoint/Support/Random.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace basilpoint {

/// A call that asks for room at an engine, with what decides whether it may wait for it.
struct RoomArrival {
    WaitClass waitClass;
    /// Name of a group of similar calls.
    std::string kind;
    /// Until the caller stops waiting.
    Milliseconds timeLeft { 0 };
    /// Until the program should finish; empty if not known.
    std::optional<Milliseconds> programTimeLeft {};
    /// Longest wait so far of the calls of its class that wait now.
    Milliseconds longestWait { 0 };
};

/// Why a call gets no room.
enum class RoomRefusal {
    /// It could not end in time.
    TooLate,
    /// First turns wait for longer than its program can spare.
    NoTimeToSpare,
    /// More calls wait than may.
    QueueFull,
};

/// Identifier in kebab-case.
std::string_view toString(RoomRefusal);
/// Empty if \p text is no such identifier.
std::optional<RoomRefusal> roomRefusalFrom(std::string_view text);

/// Result of a call's arrival and what it rests on.
struct RoomDecision {
    /// Empty if the call may wait.
    std::optional<RoomRefusal> refusal;
    Milliseconds expectedWait { 0 };
    /// Age of the latest wait that the expected one rests on; empty if there is none.
    std::optional<Milliseconds> estimateAge;
    /// Usual time of such a call at an engine.
    Milliseconds usualTime { 0 };
    /// Longest wait after which the call is of use.
    Milliseconds maxWait { 0 };
    /// Whether the call would be refused but tries, so that the policy learns when its reason ends.
    bool isTrial = false;
};

/// Decides which calls may wait for room, by the recent waits of calls alike.
///
/// The recent waits are forgotten within two seconds, so that refusals end when their cause has ended.
class RefusalPolicy {
public:
    explicit RefusalPolicy(RandomEngine::result_type seed);

    RoomDecision arrived(const RoomArrival&, TimePoint now);

    /// A call got room after a wait, zero if it had not to wait.
    void placed(const WaitClass&, Milliseconds wait, TimePoint now);
    /// A call has waited in vain.
    void gaveUp(const WaitClass&, Milliseconds wait, TimePoint now);

    /// Time that a call took at an engine.
    void ran(const std::string& kind, Milliseconds time);

    Milliseconds usualTime(const std::string& kind) const;

    /// Delay after which a refused caller should try again.
    Milliseconds retryAfter(Milliseconds expectedWait);

private:
    struct Wait {
        TimePoint at;
        Milliseconds wait;
    };
    struct Estimate {
        Milliseconds wait { 0 };
        std::optional<Milliseconds> age;
    };

    Estimate estimateOf(const WaitClass&, TimePoint now) const;
    static Milliseconds timeLeft(const RoomArrival&);
    static Milliseconds timeToSpare(const RoomArrival&, Milliseconds usualTime, bool isWithinShare);
    Estimate expectedWaitOf(const RoomArrival&, bool isWithinShare, TimePoint now) const;
    bool isWithinShare(const std::string& organisation) const;
    void addWait(const WaitClass&, Milliseconds wait, TimePoint now);
    void forgetOld(TimePoint now);

    /// Calls of an organisation within the last seconds; each counts less as it ages.
    struct Demand {
        double arrived = 0;
        double placed = 0;
    };

    std::map<WaitClass, std::deque<Wait>> m_waits;
    std::map<std::string, Demand> m_demands;
    /// Moving averages in milliseconds, by kind.
    std::map<std::string, double> m_usualTimes;
    TimePoint m_sweptAt = TimePoint::min();
    unsigned m_refusedFirstTurns = 0;
    RandomEngine m_random;
};

} // namespace basilpoint
