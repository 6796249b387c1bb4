#pragma once

#include "basilpoint/Support/Clock.h"

#include <cstddef>
#include <optional>

namespace basilpoint {

/// Limits of admission while calls wait.
struct AdmissionSettings {
    /// Calls that may wait before new ones are refused.
    std::size_t maxWaiting = 4'096;
    /// Mean wait of a call above which the number of running programs is limited.
    Milliseconds maxMeanWait { 1'000 };
    /// Interval between two adjustments of the program limit.
    Milliseconds window { 2'000 };
};

/// Limits the number of running programs, so that those already started finish in time.
///
/// New programs are refused rather than calls of running ones, because refusing a first call wastes
/// no completed work. The limit follows the mean wait of calls: it decreases while the wait
/// exceeds the configured maximum and increases otherwise.
class Admission {
public:
    explicit Admission(AdmissionSettings);

    /// Records the wait of a call that was served or refused.
    void recordWait(Milliseconds wait);

    /// Adjusts the limit once per window.
    /// \param programs programs running now.
    /// \param oldestWait wait so far of the oldest waiting call; used if no wait was recorded in the window.
    void tick(std::size_t programs, Milliseconds oldestWait, TimePoint now);

    bool admitsProgram(std::size_t programs) const { return !m_limit || static_cast<double>(programs) < *m_limit; }
    bool admitsCall(std::size_t waiting) const { return waiting < m_settings.maxWaiting; }

    /// Delay after which a refused caller should retry.
    Milliseconds retryAfter() const;

    /// Number of programs that may run; empty while there is no limit.
    std::optional<double> programLimit() const { return m_limit; }

private:
    AdmissionSettings m_settings;
    std::optional<double> m_limit;
    std::optional<TimePoint> m_windowStart;
    Milliseconds m_waitSum { 0 };
    std::size_t m_waits = 0;
    Milliseconds m_meanWait { 0 };
};

} // namespace basilpoint
