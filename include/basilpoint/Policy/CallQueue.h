#pragma once

#include "basilpoint/Policy/ModelScheduler.h"

#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace basilpoint {

/// Place of one waiting call in the queue.
struct QueuedCall {
    CallId id;
    /// The program's cache is held at a replica, so that the call needs little memory.
    bool hasCache = false;
    /// Discretized service of the root program; lower goes first.
    unsigned level = 0;
    /// Virtual start time that keeps operators to their shares.
    double startTag = 0;
    TimePoint arrivedAt;
    std::optional<TimePoint> deadline;
};

/// What a visitor of the queue did with a call.
enum class Visit {
    /// The call left the queue.
    Take,
    /// The call can't go now; look at the next one.
    Skip,
    /// Nothing more can go now.
    Stop,
};

/// Waiting calls of one model, in order of dispatch: calls past the aging bound by arrival, calls
/// whose deadline is near by deadline, then by level, share and arrival. Calls without a cache are
/// shown before those with one, but only until some of them found no room.
class CallQueue {
public:
    /// \param agingBound a call that waited this long goes before all that came later.
    /// \param urgentSlack a call this close to its deadline goes before calls that have time.
    CallQueue(Milliseconds agingBound, Milliseconds urgentSlack);

    void push(const QueuedCall&);
    bool erase(CallId);

    /// Shows calls in order of dispatch to \p visitor, at most \p scanLimit of them.
    void visit(TimePoint now, std::size_t scanLimit, const std::function<Visit(CallId)>& visitor);

    /// Removes and returns the calls whose deadline is at \p limit or earlier.
    std::vector<CallId> takeExpired(TimePoint limit);

    /// Whether the call has waited for the aging bound.
    bool isAged(CallId, TimePoint now) const;

    std::size_t size() const { return m_calls.size(); }
    bool empty() const { return m_calls.empty(); }

    std::optional<TimePoint> oldestArrival() const;

private:
    struct Order {
        unsigned level;
        double startTag;
        CallId id;
        auto operator<=>(const Order&) const = default;
    };
    using ByTime = std::set<std::pair<TimePoint, CallId>>;

    std::set<Order>& levelsOf(const QueuedCall& call) { return call.hasCache ? m_withCache : m_withoutCache; }
    static Order orderOf(const QueuedCall& call) { return { call.level, call.startTag, call.id }; }

    Milliseconds m_agingBound;
    Milliseconds m_urgentSlack;
    std::unordered_map<CallId, QueuedCall> m_calls;
    std::set<Order> m_withoutCache;
    std::set<Order> m_withCache;
    ByTime m_byArrival;
    ByTime m_byDeadline;
};

} // namespace basilpoint
