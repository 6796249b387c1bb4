#pragma once

#include "MemberTable.h"

namespace basilpoint {

/// Round-robin order in which members are probed, shuffled anew for each round. This bounds the time until a failed
/// member is probed.
class ProbeRound {
public:
    /// Inserts a new member at a random position of the current round. A round takes as many periods as there are
    /// members, too long to wait for the first probe.
    void add(const InstanceId&, RandomEngine&);

    /// \returns the next member that is not dead, if there is one.
    std::optional<InstanceId> next(const MemberTable&, RandomEngine&);

private:
    std::optional<InstanceId> takeLive(const MemberTable&);

    std::vector<InstanceId> m_remaining;
};

} // namespace basilpoint
