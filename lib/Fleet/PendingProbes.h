#pragma once

#include "basilpoint/Fleet/Membership.h"

#include <map>
#include <optional>

namespace basilpoint {

/// Probes that wait for an answer, own ones and those made for others.
class PendingProbes {
public:
    struct Probe {
        InstanceId target;
        TimePoint askOthersAt;
        TimePoint failsAt;
        bool askedOthers = false;
    };

    /// A probe made for another member.
    struct Relay {
        InstanceId asker;
        std::uint64_t askerSequence = 0;
        TimePoint expiresAt;
    };

    /// What became due.
    struct Due {
        /// Probes for which others are to be asked, by sequence.
        std::vector<std::pair<std::uint64_t, InstanceId>> toAskOthers;
        std::vector<InstanceId> failed;
    };

    void add(std::uint64_t sequence, const Probe& probe) { m_probes[sequence] = probe; }
    void add(std::uint64_t sequence, const Relay& relay) { m_relays[sequence] = relay; }

    Due takeDue(TimePoint now);

    /// Target of an own probe; null if there is none under \p sequence.
    const InstanceId* target(std::uint64_t sequence) const;
    void erase(std::uint64_t sequence) { m_probes.erase(sequence); }

    /// Ends a probe made for another member.
    std::optional<Relay> takeRelay(std::uint64_t sequence);

    /// Drops all own probes: after a pause of this process nobody is to blame for their failure.
    void dropOwn() { m_probes.clear(); }

private:
    std::map<std::uint64_t, Probe> m_probes;
    std::map<std::uint64_t, Relay> m_relays;
};

} // namespace basilpoint
