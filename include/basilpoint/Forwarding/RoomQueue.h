#pragma once

#include "basilpoint/Policy/FairShares.h"
#include "basilpoint/Support/Clock.h"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basilpoint {

/// Identifies a call while it waits.
using WaitingCallId = std::uint64_t;

/// Calls that wait alike: their recent waits predict each other's.
struct WaitClass {
    /// Empty if callers are not identified.
    std::string organisation;
    /// 0 is the most urgent.
    unsigned organisationPriority = 0;
    unsigned routePriority = 0;
    /// Whether the call continues a program that has used engines before.
    bool isLaterTurn = false;

    auto operator<=>(const WaitClass&) const = default;
};

/// A call that waits for room at an engine.
struct WaitingCall {
    WaitingCallId id = 0;
    WaitClass waitClass;
    /// Tokens that the call needs, by which organisations share the engines.
    double work = 1;
    TimePoint arrivedAt;
    /// When the program should finish; the deadline if that is not known.
    TimePoint programEnd;
};

/// Waiting calls of one service in the order in which they get room.
///
/// More urgent calls come first, but a call that has waited for long is as urgent as any. Then come later turns before first
/// ones, then organisations in turn by start-time fair queueing, then the calls of programs that have least time left.
class RoomQueue {
public:
    /// Adds a call. \returns the call that has no place, which is the last in order; empty if there is room for all.
    std::optional<WaitingCallId> push(const WaitingCall&, TimePoint now);
    bool erase(WaitingCallId);

    /// First call in order; empty if none waits.
    std::optional<WaitingCallId> first(TimePoint now) const;
    /// All calls in order.
    std::vector<WaitingCallId> order(TimePoint now) const;

    /// Charges a call that has got room, whether it has waited or not, to its organisation.
    void placed(const std::string& organisation, double work);

    /// Longest wait so far of the waiting calls of one class; zero if none waits.
    Milliseconds longestWait(const WaitClass&, TimePoint now) const;

    std::size_t size() const { return m_calls.size(); }
    bool empty() const { return m_calls.empty(); }

    static constexpr std::size_t maxCalls = 256;
    /// Wait after which a call is as urgent as any.
    static constexpr Milliseconds maxWaitForUrgent { 1'000 };

private:
    struct Rank;

    /// Waiting calls of an organisation, and its share.
    struct Share {
        OperatorId organisation;
        std::size_t waiting = 0;
        /// Virtual start time of its next call, as of the last \ref readTags.
        double startTag = 0;
    };
    struct Entry {
        WaitingCall call;
        const Share* share;
    };

    void readTags() const;
    static Rank rankOf(const Entry&, TimePoint now);

    std::map<WaitingCallId, Entry> m_calls;
    /// Organisations with waiting calls, so that their shares are looked up once and not for each call.
    mutable std::map<std::string, Share> m_organisations;
    FairShares m_shares;
};

} // namespace basilpoint
