#pragma once

#include "MemberTable.h"

namespace basilpoint {

/// Order in which members are probed: random, and drawn anew after each round, which bounds the time
/// until a failed member is probed.
class ProbeRound {
public:
    /// Takes in a member that has just been learned of. A round lasts as many periods as there are
    /// members, too long to wait for the first probe.
    void add(const InstanceId&, RandomEngine&);

    /// Next member that is not dead, if there is any.
    std::optional<InstanceId> next(const MemberTable&, RandomEngine&);

private:
    std::optional<InstanceId> takeLive(const MemberTable&);

    std::vector<InstanceId> m_remaining;
};

} // namespace basilpoint
