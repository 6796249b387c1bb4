#pragma once

#include <chrono>

namespace basilpoint {

/// Time on the monotonic clock. Not comparable across processes.
using TimePoint = std::chrono::steady_clock::time_point;

/// Time on the wall clock, in UTC. Used for deadlines that callers and operators set.
using WallTimePoint = std::chrono::system_clock::time_point;

using Milliseconds = std::chrono::milliseconds;

/// Source of time. Classes that make decisions do not hold a clock; they receive time points.
class Clock {
public:
    virtual ~Clock() = default;

    virtual TimePoint now() const = 0;
    virtual WallTimePoint wallNow() const = 0;
};

/// Clock of the operating system.
class SystemClock final : public Clock {
public:
    TimePoint now() const override;
    WallTimePoint wallNow() const override;
};

/// Clock that advances only by advance(). For tests and benchmarks.
class ManualClock final : public Clock {
public:
    TimePoint now() const override { return m_now; }
    WallTimePoint wallNow() const override { return WallTimePoint(std::chrono::duration_cast<WallTimePoint::duration>(m_now.time_since_epoch())); }

    void advance(std::chrono::nanoseconds step) { m_now += step; }

private:
    TimePoint m_now { std::chrono::hours(1) };
};

} // namespace basilpoint
