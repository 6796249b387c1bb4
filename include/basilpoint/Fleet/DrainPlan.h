#pragma once

#include "basilpoint/Support/Clock.h"

#include <cstddef>
#include <optional>

namespace basilpoint {

struct DrainSettings {
    /// Time after reporting not ready until load balancer and peers no longer send new requests.
    Milliseconds propagationTime { 3'000 };
    /// Time allowed for handing over all shards.
    Milliseconds handOverTime { 30'000 };
    /// Maximum duration of a response to a caller.
    Milliseconds maxResponseTime { 600'000 };
};

/// Steps of a planned shutdown, in order.
enum class DrainStep {
    Serving,
    /// Reports not ready and leaves the membership, but still serves requests that arrive.
    NotReady,
    HandingOver,
    Finishing,
    Exit,
};

/// Shards still owned and requests still in flight.
struct DrainProgress {
    std::size_t shards = 0;
    std::size_t requests = 0;
};

/// Decides when a planned shutdown starts and when its next step is due. Never aborts a request: past the
/// deadline it reports isLate() and keeps waiting.
class DrainPlan {
public:
    explicit DrainPlan(const DrainSettings& settings)
        : m_settings(settings)
    {
    }

    /// Plans the shutdown so that the instance has exited by \p deadline. The earliest of several deadlines counts.
    void stopBy(WallTimePoint deadline);

    /// Starts the shutdown now.
    void stopNow(WallTimePoint now);

    /// Cancels the planned shutdown; has no effect once it has started.
    void cancel();

    /// When the shutdown starts, if one is planned.
    std::optional<WallTimePoint> startsAt() const { return m_startsAt; }

    /// \returns the current step, advanced if the next one is due.
    DrainStep update(const DrainProgress&, WallTimePoint now);

    /// Whether the time left until the deadline is less than the longest response, or, once only requests are left,
    /// the deadline has passed. Streams must then be handed to other daemons.
    bool isLate(WallTimePoint now) const;

private:
    DrainStep nextStep(const DrainProgress&, WallTimePoint now) const;

    DrainSettings m_settings;
    std::optional<WallTimePoint> m_deadline;
    std::optional<WallTimePoint> m_startsAt;
    WallTimePoint m_notReadySince;
    DrainStep m_step = DrainStep::Serving;
};

} // namespace basilpoint
