#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Ids.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace basilpoint {

/// Limits of ejection.
struct EjectionSettings {
    /// Failures in a row after which a target is ejected.
    unsigned failuresInRow = 5;
    /// Length of a target's first ejection; each one after it is longer by as much.
    Milliseconds baseTime { 5'000 };
    Milliseconds maxTime { 60'000 };
    /// Share of the targets that may be ejected at once. At least one always stays.
    double maxEjectedShare = 0.5;
};

/// Circuit breaker per target that keeps calls from a target while it fails, and never ejects all.
class OutlierEjection {
public:
    explicit OutlierEjection(EjectionSettings);

    void succeeded(const TargetId&);

    /// Returns whether the target is ejected now.
    /// \param ejected targets of the same pool that are ejected already.
    /// \param total targets of the pool.
    bool failed(const TargetId&, std::size_t ejected, std::size_t total, TimePoint now);

    /// Targets whose ejection is over. The first failure after it ejects the target again.
    std::vector<TargetId> takeReturning(TimePoint now);

    void forget(const TargetId& target) { m_targets.erase(target); }

private:
    struct Record {
        unsigned failuresInRow = 0;
        unsigned ejections = 0;
        std::optional<TimePoint> ejectedUntil;
    };

    EjectionSettings m_settings;
    std::unordered_map<TargetId, Record> m_targets;
};

} // namespace basilpoint
