#pragma once

#include "basilpoint/Support/Clock.h"

#include <optional>

namespace basilpoint {

/// What a daemon believes of the key-value service, from the answers to its own calls.
class StoreHealth {
public:
    /// A call was answered after \p took. \returns whether the service is back after a failure.
    bool answered(Milliseconds took, TimePoint now);

    /// A call was not answered or refused. One that began before the last answer says nothing of the time since.
    /// \returns whether this is the first failure since the last answer.
    bool failed(Milliseconds waited, TimePoint now);

    /// Whether calls have failed for at least \p limit without an answer between.
    bool isFailingFor(Milliseconds limit, TimePoint now) const;

    /// How long to wait for an answer; follows what answers take.
    Milliseconds answerLimit() const;

    /// Since when calls fail.
    std::optional<TimePoint> failingSince() const { return m_failingSince; }

private:
    void learn(Milliseconds took);

    double m_usualMilliseconds = 10;
    std::optional<TimePoint> m_failingSince;
    std::optional<TimePoint> m_answeredAt;
};

} // namespace basilpoint
