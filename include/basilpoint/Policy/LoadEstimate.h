#pragma once

#include "basilpoint/Support/Clock.h"

#include <boost/circular_buffer.hpp>
#include <cstdint>
#include <optional>

namespace basilpoint {

/// Number of calls at one replica, estimated from this daemon's calls and the replica's delayed reports.
///
/// A report includes the calls that this daemon had at the replica when the report was measured.
/// These are subtracted; the rest is the load from other daemons.
class LoadEstimate {
public:
    void ownStarted(TimePoint now) { setOwn(m_own + 1, now); }
    void ownEnded(TimePoint now) { setOwn(m_own - 1, now); }

    /// Applies a report of \p total calls at \p measuredAt. A report that is not newer than the last one is ignored.
    void reported(std::uint64_t total, TimePoint measuredAt);

    /// Discards the last report if it is older than \p maxAge.
    void expire(TimePoint now, Milliseconds maxAge);

    unsigned own() const { return m_own; }
    std::uint64_t others() const { return m_others; }
    std::uint64_t total() const { return m_own + m_others; }
    bool isReported() const { return m_measuredAt.has_value(); }

private:
    struct Sample {
        TimePoint at;
        unsigned own = 0;
    };

    void setOwn(unsigned own, TimePoint now);
    unsigned ownAt(TimePoint) const;

    /// Samples of the own load that are kept; covers a report delay of several seconds at the highest call rate of one replica.
    static constexpr std::size_t maxSamples = 64;

    unsigned m_own = 0;
    std::uint64_t m_others = 0;
    std::optional<TimePoint> m_measuredAt;
    boost::circular_buffer<Sample> m_samples { maxSamples };
};

} // namespace basilpoint
