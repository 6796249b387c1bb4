#pragma once

#include <chrono>

namespace basilpoint {

/// Point on the monotonic clock. Never compared across processes.
using TimePoint = std::chrono::steady_clock::time_point;

/// Point on the wall clock, in UTC. Used for deadlines that callers and operators state.
using WallTimePoint = std::chrono::system_clock::time_point;

using Milliseconds = std::chrono::milliseconds;

/// Source of time. Decision classes never hold one; they receive time points.
class Clock {
public:
    virtual ~Clock() = default;

    virtual TimePoint now() const = 0;
    virtual WallTimePoint wallNow() const = 0;
};

/// Clock of the machine.
class SystemClock final : public Clock {
public:
    TimePoint now() const override;
    WallTimePoint wallNow() const override;
};

/// Clock that moves only when told to. For tests and benchmarks.
class ManualClock final : public Clock {
public:
    TimePoint now() const override { return m_now; }
    WallTimePoint wallNow() const override { return WallTimePoint(std::chrono::duration_cast<WallTimePoint::duration>(m_now.time_since_epoch())); }

    void advance(std::chrono::nanoseconds step) { m_now += step; }

private:
    TimePoint m_now { std::chrono::hours(1) };
};

} // namespace basilpoint
