#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Hash.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace basilpoint {

/// Hash of a digest. Digests are uniformly distributed, so part of one suffices.
struct DigestHash {
    std::size_t operator()(const Digest& digest) const noexcept { return digest.low; }
};

/// Identifies one lifetime of a replica.
using LifetimeId = std::uint64_t;

/// Settings of a \ref Quarantine.
struct QuarantineSettings {
    /// Replicas that must crash with a request in flight before it is quarantined. Two suffice if suspects run alone.
    unsigned crashes = 2;
    /// Whether one crash is forgiven a request that has recently finished successfully.
    bool sparesKnownGood = false;
    /// Maximum number of suspects; beyond it the one with the fewest and oldest crashes is forgotten.
    std::size_t maxSuspects = 100'000;

    bool operator==(const QuarantineSettings&) const = default;
};

/// Detects requests that crash the replicas they run on and quarantines them.
///
/// A digest in flight on a replica that crashes becomes a suspect. Once enough replicas have crashed with the suspect in
/// flight, it is quarantined, and all other digests in flight at these crashes are cleared. A suspect that finishes
/// successfully is cleared.
class Quarantine {
public:
    explicit Quarantine(const QuarantineSettings& settings = {})
        : m_settings(settings)
    {
    }

    enum class Status {
        Clear,
        Suspect,
        Quarantined,
    };

    /// Order in which suspects are tried, the most likely cause of the crash first.
    struct SuspectRank {
        TimePoint crashedAt;
        /// Time in flight at the crash. A crashing request does so soon after its start, so the shortest is tried first.
        std::chrono::nanoseconds inFlightFor { 0 };
        auto operator<=>(const SuspectRank&) const = default;
    };

    Status statusOf(const Digest&) const;
    SuspectRank rank(const Digest&) const;

    /// Whether one more copy of the request may be dispatched. At most two copies of a request that has
    /// not finished successfully yet may be in flight, which bounds how many replicas it crashes at once.
    bool mayDispatch(const Digest&) const;

    void dispatched(const Digest&);

    /// Records that a copy of the request ended without a crash of its replica.
    /// \param finished whether it finished successfully.
    void ended(const Digest&, bool finished, TimePoint now);

    /// Records that the replica crashed with the request in flight. Returns the new status.
    Status crashed(const Digest&, LifetimeId, TimePoint dispatchedAt, TimePoint now);

    /// Records that another daemon had the request in flight on a replica that crashed.
    /// \param replica empty if that daemon did not say which one.
    Status suspect(const Digest&, std::optional<LifetimeId> replica, TimePoint now);

    /// Withdraws a crash, for instance since the replica has turned out to be running.
    void withdraw(const Digest&, LifetimeId);

    /// Replicas known to have crashed with a suspect in flight.
    std::vector<LifetimeId> crashesOf(const Digest&) const;

    /// Quarantines the request.
    void quarantine(const Digest&, TimePoint now);

    /// Ends the quarantine by an operator's request, for instance after the engine was fixed.
    void lift(const Digest&);

    /// Removes expired suspicions, quarantines and records.
    void sweep(TimePoint now);

    std::vector<Digest> quarantinedDigests() const;

    static constexpr std::chrono::minutes suspicionLifetime { 10 };
    static constexpr std::chrono::hours quarantineLifetime { 24 };

private:
    struct Suspicion {
        /// Replicas that crashed; empty for one that another daemon reported without naming it.
        std::vector<std::optional<LifetimeId>> replicas;
        SuspectRank rank;
    };

    Status addCrash(const Digest&, std::optional<LifetimeId>, const SuspectRank&, TimePoint now);
    /// Attributes the crash to a quarantined request and clears the other suspects of it.
    void attributeCrash(LifetimeId, TimePoint now);
    void makeRoom();

    QuarantineSettings m_settings;
    std::unordered_map<Digest, unsigned, DigestHash> m_inFlight;
    /// Requests that finished successfully, with the time of the last success.
    std::unordered_map<Digest, TimePoint, DigestHash> m_knownGood;
    std::unordered_map<Digest, Suspicion, DigestHash> m_suspects;
    std::unordered_map<Digest, TimePoint, DigestHash> m_quarantined;
    /// Crashed replicas whose crash is attributed to a quarantined request, with the time of attribution.
    std::unordered_map<LifetimeId, TimePoint> m_attributedCrashes;
};

} // namespace basilpoint
