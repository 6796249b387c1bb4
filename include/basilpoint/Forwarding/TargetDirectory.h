#pragma once

#include "basilpoint/Forwarding/Configuration.h"
#include "basilpoint/Support/Endpoint.h"

#include <map>
#include <vector>

namespace basilpoint {

/// What a target says of itself.
struct Registration {
    TargetId id;
    ServiceId service;
    Endpoint endpoint;
    DataCentreId dataCentre;
    /// Start of the target; a target that starts again under its id is another lifetime.
    std::int64_t startedAt = 0;
    /// Calls that it runs at once.
    unsigned slots = 1;
    bool isLeaving = false;
    /// How much longer it stays slow after its start.
    Milliseconds coldFor { 0 };

    bool operator==(const Registration&) const = default;
};

/// Targets by registration.
///
/// Registrations can lapse while their source is out of reach although the targets live. So nothing
/// is dropped while the source is lost, and what is missing at its return stays in use for
/// \ref lapseGrace, within which live targets register again.
class TargetDirectory {
public:
    /// What a registration was.
    enum class News {
        /// It stood here as it is; it may have been about to be dropped.
        None,
        New,
        Changed,
        /// The target runs in another lifetime than before.
        Restarted,
    };

    /// A target registered, or its registration changed.
    News put(const Registration&);

    /// A registration was removed.
    void remove(const TargetId&, TimePoint now);

    /// The whole list as the source has it.
    void replaceAll(const std::vector<Registration>&, TimePoint now);

    /// The source cannot be reached.
    void sourceLost();

    /// The source answers again; lapsed registrations come back from now on.
    void sourceRegained(TimePoint now);

    /// Drops targets whose grace is over. \returns those that were dropped.
    std::vector<Registration> sweep(TimePoint now);

    /// Targets of \p service that take new calls.
    std::vector<const Registration*> usable(const ServiceId& service) const;

    const Registration* find(const TargetId&) const;
    bool isEmpty() const { return m_entries.empty(); }
    std::size_t size() const { return m_entries.size(); }

    /// Time for lapsed registrations to come back, as the platform states it.
    static constexpr Milliseconds lapseGrace { 2'000 };

private:
    struct Entry {
        Registration registration;
        /// When the entry is dropped unless it registers again; max() while it is registered.
        TimePoint dropAt = TimePoint::max();
    };

    bool isLapseLikely(TimePoint now) const;

    std::map<TargetId, Entry> m_entries;
    bool m_isSourceLost = true;
    TimePoint m_regainedAt = TimePoint::min();
};

} // namespace basilpoint
