#pragma once

#include "basilpoint/Policy/ReplicaSet.h"
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

/// Detects requests that crash the replicas they run on and quarantines them.
///
/// A digest in flight on a replica that crashes becomes a suspect, and a suspect runs only alone on
/// a replica. If a second replica crashes with the suspect, the suspect is quarantined and all other
/// digests in flight at either crash are cleared. A suspect that finishes successfully is cleared.
class Quarantine {
public:
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
    Status crashed(const Digest&, ReplicaIndex, TimePoint dispatchedAt, TimePoint now);

    /// Records that another daemon had the request in flight on a replica that crashed.
    void suspect(const Digest&, TimePoint now);

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
        /// Replica that crashed; empty if another daemon reported the crash.
        std::optional<ReplicaIndex> replica;
        SuspectRank rank;
    };

    /// Attributes the crash to a quarantined request and clears the other suspects of the replica.
    void attributeCrash(ReplicaIndex, TimePoint now);

    std::unordered_map<Digest, unsigned, DigestHash> m_inFlight;
    /// Requests that finished successfully, with the time of the last success.
    std::unordered_map<Digest, TimePoint, DigestHash> m_knownGood;
    std::unordered_map<Digest, Suspicion, DigestHash> m_suspects;
    std::unordered_map<Digest, TimePoint, DigestHash> m_quarantined;
    /// Crashed replicas whose crash is attributed to a quarantined request, with the time of attribution.
    std::unordered_map<ReplicaIndex, TimePoint> m_attributedCrashes;
};

} // namespace basilpoint
