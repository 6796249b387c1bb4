#pragma once

#include "basilpoint/Support/Clock.h"

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace basilpoint {

/// Maps organisations to partitions, and partitions to the gateways that may coordinate them.
class AllowancePartitions {
public:
    /// Few enough that renewing the delegations of all partitions costs little, enough to spread the work of coordinators.
    static constexpr std::size_t count = 16;
    static std::size_t of(std::string_view organisation);

    void setGateways(const std::vector<std::string>&);
    /// Gateways that may coordinate the partition, in order of preference.
    const std::vector<std::string>& candidates(std::size_t partition) const { return m_candidates.at(partition); }

private:
    std::array<std::vector<std::string>, count> m_candidates;
};

} // namespace basilpoint
