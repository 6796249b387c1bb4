#pragma once

#include "basilpoint/Support/Clock.h"

#include <cstddef>
#include <optional>

namespace basilpoint {

struct DrainSettings {
    /// Time until balancer and peers send nothing new after the daemon reports not ready.
    Milliseconds noticeTime { 3'000 };
    /// Time allowed for handing all shards over.
    Milliseconds handOverTime { 30'000 };
    /// Longest answer that a caller may be given.
    Milliseconds longestAnswer { 600'000 };
};

/// Steps of a planned stop, in order.
enum class DrainStep {
    Serving,
    /// Reports not ready and leaves the membership, but serves whatever still comes.
    NotReady,
    HandingOver,
    Finishing,
    Exit,
};

/// What the daemon still holds.
struct DrainProgress {
    std::size_t shards = 0;
    std::size_t requests = 0;
};

/// Decides when a planned stop begins and when its next step is due. Never cuts a request: past the
/// date it reports late() and waits on.
class DrainPlan {
public:
    explicit DrainPlan(const DrainSettings& settings)
        : m_settings(settings)
    {
    }

    /// The instance must be gone by \p date. The earliest of several dates counts.
    void stopBy(WallTimePoint date);

    /// The stop begins now.
    void stopNow(WallTimePoint now);

    /// Takes the date back; has no effect once the stop has begun.
    void cancel();

    /// When the stop begins, if one is planned.
    std::optional<WallTimePoint> beginsAt() const { return m_beginsAt; }

    /// \returns the step that is due.
    DrainStep update(const DrainProgress&, WallTimePoint now);

    /// Whether the date has passed or leaves less than the longest answer: streams must be passed on to other daemons.
    bool late(WallTimePoint now) const;

private:
    DrainStep nextStep(const DrainProgress&, WallTimePoint now) const;

    DrainSettings m_settings;
    std::optional<WallTimePoint> m_date;
    std::optional<WallTimePoint> m_beginsAt;
    WallTimePoint m_notReadySince;
    DrainStep m_step = DrainStep::Serving;
};

} // namespace basilpoint
