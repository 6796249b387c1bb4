#pragma once

#include "basilpoint/Support/Clock.h"

#include <optional>

namespace basilpoint {

/// Availability and response time of the store, as seen by this daemon's own calls.
class StoreHealth {
public:
    /// Records a call that was answered after \p took. \returns whether it is the first answer after a failure.
    bool answered(Milliseconds took, TimePoint now);

    /// Records a call that failed after \p waited. The store does not count as failing if the call began before the last
    /// answer. \returns whether this is the first failure since the last answer.
    bool failed(Milliseconds waited, TimePoint now);

    /// Whether calls have failed for at least \p limit without an answer in between.
    bool isFailingFor(Milliseconds limit, TimePoint now) const;

    /// Timeout of a call, adapted to the average response time.
    Milliseconds responseTimeout() const;

    /// Time of the first failure since the last answer; empty if the store is not failing.
    std::optional<TimePoint> failingSince() const { return m_failingSince; }

private:
    void updateAverage(Milliseconds took);

    double m_averageMilliseconds = 10;
    std::optional<TimePoint> m_failingSince;
    std::optional<TimePoint> m_answeredAt;
};

} // namespace basilpoint
