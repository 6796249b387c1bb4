#pragma once

#include "basilpoint/Forwarding/TargetDirectory.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace basilpoint {

/// Long-term pace of targets: the ratio of a target's time between events to that of other targets for calls of the same kind.
///
/// A pace is in force for all daemons once it has been announced. What this daemon's own calls show only decides whether it
/// announces another one. Paces are counted in steps of 15%; step 0 is the average.
class TargetPaces {
public:
    /// What this daemon should announce about a target.
    struct Announcement {
        int step = 0;
        /// Steps in force that the new one replaces.
        std::vector<int> replaced;

        bool operator==(const Announcement&) const = default;
    };

    /// Records the time between events of a call that has ended.
    void record(const Registration&, const std::string& kind, double milliseconds, TimePoint now);

    /// What to announce after a call. Empty if the pace in force agrees with this daemon's calls, or was announced lately.
    std::optional<Announcement> takeAnnouncement(const Registration&, TimePoint now);

    /// Whether this daemon's calls agree with the step in force, so that it may confirm it.
    bool confirms(const Registration&, TimePoint now) const;

    /// Handles the announcement of a step for a lifetime, or its end.
    void apply(const TargetId&, std::int64_t startedAt, int step, bool inForce);

    /// Step in force; 0 for a target of which none is known.
    int stepOf(const Registration&) const;
    double ratioOf(const Registration& target) const { return ratioOf(stepOf(target)); }

    /// This daemon's estimate as a natural logarithm; empty with fewer than \ref minCalls calls in the last minute.
    std::optional<double> estimate(const Registration&, TimePoint now) const;

    /// Forgets a lifetime that has ended.
    void forget(const TargetId&, std::int64_t startedAt);

    /// Drops the steps that are no longer in force, and targets without steps and recent calls.
    void sweep(TimePoint now, const std::function<bool(const TargetId&, std::int64_t startedAt, int step)>& isInForce);

    std::size_t size() const { return m_targets.size(); }

    static double ratioOf(int step);
    static int stepOf(double ratio);

    /// Fewer calls are not told from a stall.
    static constexpr std::size_t minCalls = 3;
    /// Calls at a target that count.
    static constexpr std::size_t maxCalls = 9;
    /// Age beyond which a call does not count.
    static constexpr std::chrono::seconds retention { 60 };
    /// A pace in force ends after this time unless it is confirmed.
    static constexpr Milliseconds lifetime { 300'000 };
    /// Between two announcements of this daemon about one target.
    static constexpr std::chrono::seconds announcementInterval { 5 };

private:
    struct Sample {
        TimePoint at;
        double value = 0;
    };

    struct Target {
        std::int64_t startedAt = 0;
        std::vector<Sample> excesses;
        std::set<int> steps;
        std::optional<TimePoint> announcedAt;
    };

    /// A call of one kind at any target, with its time divided by the target's pace.
    struct KindSample {
        TimePoint at;
        TargetId target;
        double logMilliseconds = 0;
    };

    Target* targetFor(const TargetId&, std::int64_t startedAt);
    const Target* find(const Registration&) const;
    std::optional<double> logMillisecondsElsewhere(const TargetId&, const std::string& kind, TimePoint now) const;
    static std::vector<double> recentExcesses(const Target&, TimePoint now);

    std::unordered_map<TargetId, Target> m_targets;
    std::map<std::string, std::vector<KindSample>> m_kinds;
};

} // namespace basilpoint
