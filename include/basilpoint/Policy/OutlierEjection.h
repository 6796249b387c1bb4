#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Ids.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace basilpoint {

/// Thresholds and durations of ejection.
struct EjectionSettings {
    /// Consecutive failures after which a target is ejected.
    unsigned consecutiveFailures = 5;
    /// Duration of a target's first ejection; each further one is longer by the same amount, up to maxTime.
    Milliseconds baseTime { 5'000 };
    Milliseconds maxTime { 60'000 };
    /// Largest share of a pool's targets ejected at the same time. At least one target always remains.
    double maxEjectedShare = 0.5;
};

/// Circuit breaker per target. A failing target gets no calls for a time; a pool never loses all its targets.
class OutlierEjection {
public:
    explicit OutlierEjection(EjectionSettings);

    void succeeded(const TargetId&);

    /// Records a failure and returns whether it ejects the target.
    /// \param ejected number of targets in the same pool that are already ejected.
    /// \param total number of targets in the pool.
    bool failed(const TargetId&, std::size_t ejected, std::size_t total, TimePoint now);

    /// Ends expired ejections and returns their targets. The next failure ejects such a target again.
    std::vector<TargetId> endExpiredEjections(TimePoint now);

    void forget(const TargetId& target) { m_targets.erase(target); }

private:
    struct Record {
        unsigned consecutiveFailures = 0;
        unsigned ejections = 0;
        std::optional<TimePoint> ejectedUntil;
    };

    EjectionSettings m_settings;
    std::unordered_map<TargetId, Record> m_targets;
};

} // namespace basilpoint
