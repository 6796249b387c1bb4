#pragma once

#include "basilpoint/Forwarding/Configuration.h"
#include "basilpoint/Support/Endpoint.h"

#include <map>
#include <set>
#include <vector>

namespace basilpoint {

/// A target's own description of itself.
struct Registration {
    TargetId id;
    ServiceId service;
    Endpoint endpoint;
    DataCentreId dataCentre;
    /// Start time of the target; tells lifetimes of targets with the same id apart.
    std::int64_t startedAt = 0;
    /// Number of calls that it runs concurrently.
    unsigned slots = 1;
    bool isLeaving = false;
    /// Remaining time of its cold start, during which it is slow.
    Milliseconds coldFor { 0 };

    bool operator==(const Registration&) const = default;
};

/// Targets by their registrations.
///
/// While the source of registrations is unreachable, registrations can expire although their targets still run. So no
/// target is dropped during an outage, and a target that is missing afterwards stays in use for \ref renewalGrace, within
/// which a running target registers again.
class TargetDirectory {
public:
    /// Effect of put().
    enum class PutResult {
        /// The registration is unchanged; a scheduled drop, if any, has been cancelled.
        None,
        New,
        Changed,
        /// The target has been restarted.
        Restarted,
    };

    /// Adds or updates a registration.
    PutResult put(const Registration&);

    /// Records that a lifetime of a target has announced in an answer that it leaves. Its registrations do not undo this, since
    /// they may be older, or expire and be renewed. \returns whether this was not known.
    bool markLeaving(const TargetId&, std::int64_t startedAt, TimePoint now);

    /// Handles the removal of a registration.
    void remove(const TargetId&, TimePoint now);

    /// Replaces all registrations by the complete list of the source.
    void replaceAll(const std::vector<Registration>&, TimePoint now);

    /// Records that the source is unreachable.
    void sourceLost();

    /// Records that the source is reachable again, so that expired registrations are renewed from now on.
    void sourceRegained(TimePoint now);

    /// Since when the source has been reachable; max() while it is not.
    TimePoint sourceKnownSince() const { return m_isSourceLost ? TimePoint::max() : m_sourceRegainedAt; }

    /// Drops targets whose removal is due. \returns the dropped targets.
    std::vector<Registration> sweep(TimePoint now);

    /// Targets of \p service that accept new calls.
    std::vector<const Registration*> usable(const ServiceId& service) const;

    /// Services that have targets.
    std::set<ServiceId> services() const;

    /// Up to \p n other targets of any service, those that follow the target in the order of ids.
    std::vector<Registration> othersThan(const TargetId&, std::size_t n) const;

    const Registration* find(const TargetId&) const;
    bool isEmpty() const { return m_entries.empty(); }
    std::size_t size() const { return m_entries.size(); }

    /// Time within which targets renew expired registrations, as the platform specifies.
    static constexpr Milliseconds renewalGrace { 2'000 };

    /// How long a lifetime that has announced that it leaves is remembered without a registration.
    static constexpr std::chrono::hours leavingRetention { 1 };

private:
    struct Entry {
        Registration registration;
        /// When the entry is dropped unless the target registers again; max() while it is registered.
        TimePoint dropAt = TimePoint::max();
    };

    struct LeavingMark {
        std::int64_t startedAt = 0;
        TimePoint markedAt;
    };

    bool isExpiryLikely(TimePoint now) const;
    bool isMarkedLeaving(const Registration&) const;

    std::map<TargetId, Entry> m_entries;
    std::map<TargetId, LeavingMark> m_leaving;
    bool m_isSourceLost = true;
    TimePoint m_sourceRegainedAt = TimePoint::min();
};

} // namespace basilpoint
