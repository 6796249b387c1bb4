#pragma once

#include "basilpoint/Policy/ModelScheduler.h"

#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace basilpoint {

/// Waiting call with the attributes that determine its position in the queue.
struct QueuedCall {
    CallId id;
    /// Whether a replica caches the program's prompt prefix, so that the call needs little additional memory.
    bool hasCache = false;
    /// Priority level from attained service and share penalty; a lower level is dispatched first.
    unsigned level = 0;
    /// Virtual start time of start-time fair queueing between operators.
    double startTag = 0;
    TimePoint arrivedAt;
    std::optional<TimePoint> deadline;
};

/// Result of visiting a queued call.
enum class Visit {
    /// Remove the call from the queue.
    Take,
    /// The call can't be dispatched now; continue with the next one.
    Skip,
    /// No call can be dispatched now; end the visit.
    Stop,
};

/// Waiting calls of one model in dispatch order.
///
/// First come calls past the aging bound by arrival, then calls with a near deadline by deadline,
/// then the rest by level, virtual start time and call id. Within the rest, calls without a cached
/// prefix come before those with one, but only until a few of them have been skipped.
class CallQueue {
public:
    /// \param agingBound wait after which a call precedes all calls that arrived later.
    /// \param urgentSlack remaining time to the deadline within which a call precedes less urgent ones.
    CallQueue(Milliseconds agingBound, Milliseconds urgentSlack);

    void push(const QueuedCall&);
    bool erase(CallId);

    /// Visits calls in dispatch order. Each ordered part of the queue is left after \p scanLimit
    /// skipped calls at the latest.
    void visit(TimePoint now, std::size_t scanLimit, const std::function<Visit(CallId)>& visitor);

    /// Removes and returns the calls whose deadline is \p limit or earlier.
    std::vector<CallId> takeExpired(TimePoint limit);

    /// Whether the call has waited for at least the aging bound.
    bool isAged(CallId, TimePoint now) const;

    std::size_t size() const { return m_calls.size(); }
    bool empty() const { return m_calls.empty(); }

    std::optional<TimePoint> oldestArrival() const;

private:
    struct DispatchKey {
        unsigned level;
        double startTag;
        CallId id;
        auto operator<=>(const DispatchKey&) const = default;
    };
    using ByTime = std::set<std::pair<TimePoint, CallId>>;

    std::set<DispatchKey>& orderedSetOf(const QueuedCall& call) { return call.hasCache ? m_withCache : m_withoutCache; }
    static DispatchKey dispatchKeyOf(const QueuedCall& call) { return { call.level, call.startTag, call.id }; }

    Milliseconds m_agingBound;
    Milliseconds m_urgentSlack;
    std::unordered_map<CallId, QueuedCall> m_calls;
    std::set<DispatchKey> m_withoutCache;
    std::set<DispatchKey> m_withCache;
    ByTime m_byArrival;
    ByTime m_byDeadline;
};

} // namespace basilpoint
