#pragma once

#include "basilpoint/Support/Clock.h"

#include <boost/circular_buffer.hpp>
#include <cstdint>
#include <optional>

namespace basilpoint {

/// Load of one replica, from own calls and from the replica's lagging reports.
///
/// A report counts own calls too, as of when it was measured; the own calls of that time are
/// taken off, and what remains are the calls of other daemons.
class LoadEstimate {
public:
    void ownStarted(TimePoint now) { setOwn(m_own + 1, now); }
    void ownEnded(TimePoint now) { setOwn(m_own - 1, now); }

    /// \p total is what the replica counted at \p measuredAt. Reports that arrive out of order are dropped.
    void reported(std::uint64_t total, TimePoint measuredAt);

    /// Drops a report that is too old to say anything.
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

    /// Covers a lag of several seconds at the highest rate of one replica.
    static constexpr std::size_t maxSamples = 64;

    unsigned m_own = 0;
    std::uint64_t m_others = 0;
    std::optional<TimePoint> m_measuredAt;
    boost::circular_buffer<Sample> m_samples { maxSamples };
};

} // namespace basilpoint
