#pragma once

#include "basilpoint/Support/Clock.h"

#include <cstddef>
#include <optional>

namespace basilpoint {

/// Limits on what is taken on while calls wait.
struct AdmissionSettings {
    /// Calls that may wait before new ones are refused.
    std::size_t maxWaiting = 4'096;
    /// Mean wait of a call above which no further programs are begun.
    Milliseconds targetWait { 1'000 };
    /// How often the limit of programs under way is adapted.
    Milliseconds window { 2'000 };
};

/// Decides whether one more program may begin, so that those under way finish in time.
///
/// A call of a program under way is worth more than the first call of a new one: refusing the
/// latter costs nothing that was done already. The limit of programs under way follows the
/// calls' waits: it falls while they exceed the target and rises while they don't.
class Admission {
public:
    explicit Admission(AdmissionSettings);

    /// Records how long a call waited until it was dispatched or given up.
    void waited(Milliseconds wait);

    /// Adapts the limit. \p oldestWait is the wait so far of the oldest waiting call.
    void tick(std::size_t programs, Milliseconds oldestWait, TimePoint now);

    bool admitsProgram(std::size_t programs) const { return !m_limit || static_cast<double>(programs) < *m_limit; }
    bool admitsCall(std::size_t waiting) const { return waiting < m_settings.maxWaiting; }

    /// When a refused caller should come again.
    Milliseconds retryAfter() const;

    /// Programs that may be under way; empty while calls don't wait.
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
