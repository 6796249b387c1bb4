#pragma once

#include "basilpoint/Support/Clock.h"

#include <functional>
#include <queue>

namespace basilpoint::bench {

/// Simulated clock with timers. Timers of equal time fire in the order in which they were set.
class EventQueue {
public:
    using Handler = std::function<void()>;

    double seconds() const { return m_seconds; }
    TimePoint now() const { return at(m_seconds); }
    static TimePoint at(double seconds) { return TimePoint(std::chrono::hours(1)) + std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(seconds)); }

    void after(double seconds, Handler handler) { m_events.push({ m_seconds + seconds, m_next++, std::move(handler) }); }

    /// Handles all events up to and including \p endSeconds.
    void run(double endSeconds)
    {
        while (!m_events.empty() && m_events.top().seconds <= endSeconds) {
            m_seconds = m_events.top().seconds;
            Handler handler = std::move(m_events.top().handler);
            m_events.pop();
            handler();
        }
    }

private:
    struct Event {
        double seconds = 0;
        std::uint64_t number = 0;
        // std::priority_queue::top() returns a const reference; the handler is moved out right before the event is popped.
        mutable Handler handler;

        bool operator<(const Event& other) const { return std::pair(other.seconds, other.number) < std::pair(seconds, number); }
    };

    std::priority_queue<Event> m_events;
    double m_seconds = 0;
    std::uint64_t m_next = 0;
};

} // namespace basilpoint::bench
