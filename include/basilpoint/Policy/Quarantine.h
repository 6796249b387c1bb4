#pragma once

#include "basilpoint/Policy/ReplicaSet.h"
#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Hash.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace basilpoint {

/// Hashes a digest, which is uniform by itself.
struct DigestHash {
    std::size_t operator()(const Digest& digest) const noexcept { return digest.low; }
};

/// Finds requests that kill the replicas they run on, and stops them.
///
/// A digest in flight on a replica that dies becomes a suspect. A suspect may run only alone on a
/// replica. If a replica dies with a suspect, the suspect is quarantined, and the others that were
/// in flight at either death are cleared. A suspect that ends well is cleared.
class Quarantine {
public:
    enum class Verdict {
        Clear,
        Suspect,
        Quarantined,
    };

    /// Order in which suspects are tried; the likeliest first.
    struct SuspectRank {
        TimePoint diedAt;
        /// Time in flight at the death. A request that kills does so early, so the shortest is tried first.
        std::chrono::nanoseconds inFlightFor { 0 };
        auto operator<=>(const SuspectRank&) const = default;
    };

    Verdict verdict(const Digest&) const;
    SuspectRank rank(const Digest&) const;

    /// Whether one more copy of the request may be sent: of one that has not ended well yet, no more
    /// than two, so that no more replicas can die at once.
    bool mayDispatch(const Digest&) const;

    void dispatched(const Digest&);

    /// The request ended without the death of its replica. \p finished tells whether it ended well.
    void ended(const Digest&, bool finished, TimePoint now);

    /// The replica died with the request in flight. Returns the new verdict.
    Verdict died(const Digest&, ReplicaIndex, TimePoint dispatchedAt, TimePoint now);

    /// Another daemon had the request in flight on a replica that died.
    void suspect(const Digest&, TimePoint now);

    /// Another daemon quarantined the request.
    void quarantine(const Digest&, TimePoint now);

    /// An operator lifts the quarantine, for instance after the engine was mended.
    void lift(const Digest&);

    /// Drops suspicions and quarantines that are too old.
    void sweep(TimePoint now);

    std::vector<Digest> quarantinedDigests() const;

    static constexpr std::chrono::minutes suspicionLifetime { 10 };
    static constexpr std::chrono::hours quarantineLifetime { 24 };

private:
    struct Suspicion {
        /// Replica that died; empty if another daemon saw the death.
        std::optional<ReplicaIndex> replica;
        SuspectRank rank;
    };

    void explain(ReplicaIndex, TimePoint now);

    std::unordered_map<Digest, unsigned, DigestHash> m_inFlight;
    /// Requests that ended well lately.
    std::unordered_map<Digest, TimePoint, DigestHash> m_proven;
    std::unordered_map<Digest, Suspicion, DigestHash> m_suspects;
    std::unordered_map<Digest, TimePoint, DigestHash> m_quarantined;
    /// Replicas whose death a quarantined request explains; the others there are not to blame.
    std::unordered_map<ReplicaIndex, TimePoint> m_explained;
};

} // namespace basilpoint
