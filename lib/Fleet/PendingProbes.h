#pragma once

#include "basilpoint/Fleet/Membership.h"

#include <map>
#include <optional>

namespace basilpoint {

/// Probes that await a reply: direct ones, and indirect ones made for other members.
class PendingProbes {
public:
    struct Probe {
        InstanceId target;
        TimePoint indirectProbesAt;
        TimePoint failsAt;
        bool indirectProbesRequested = false;
    };

    /// A probe made for another member.
    struct IndirectProbe {
        InstanceId requester;
        std::uint64_t requesterSequence = 0;
        TimePoint expiresAt;
    };

    /// Probes whose next step is due.
    struct Due {
        /// Sequence and target of probes for which indirect probes must be requested.
        std::vector<std::pair<std::uint64_t, InstanceId>> indirectProbesDue;
        std::vector<InstanceId> failed;
    };

    void add(std::uint64_t sequence, const Probe& probe) { m_probes[sequence] = probe; }
    void add(std::uint64_t sequence, const IndirectProbe& indirect) { m_indirectProbes[sequence] = indirect; }

    Due takeDue(TimePoint now);

    /// Target of a direct probe; null if there is none with \p sequence.
    const InstanceId* target(std::uint64_t sequence) const;
    void erase(std::uint64_t sequence) { m_probes.erase(sequence); }

    /// Removes and returns a probe made for another member.
    std::optional<IndirectProbe> takeIndirect(std::uint64_t sequence);

    /// Drops all direct probes, whose failure after a pause of this process does not mean that the target failed.
    void dropDirect() { m_probes.clear(); }

private:
    std::map<std::uint64_t, Probe> m_probes;
    std::map<std::uint64_t, IndirectProbe> m_indirectProbes;
};

} // namespace basilpoint
