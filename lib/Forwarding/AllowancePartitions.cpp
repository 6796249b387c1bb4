#include "basilpoint/Forwarding/AllowancePartitions.h"

#include "basilpoint/Forwarding/LimitDivision.h"
#include "basilpoint/Support/Hash.h"

namespace basilpoint {

std::size_t AllowancePartitions::of(std::string_view organisation)
{
    return hash64(organisation) % count;
}

// All candidates are kept in order: those that are cut off or leaving are skipped later.
void AllowancePartitions::setGateways(const std::vector<std::string>& gateways)
{
    for (std::size_t n = 0; n < count; ++n)
        m_candidates[n] = limitdivision::ordered(gateways, "allowances/" + std::to_string(n));
}

} // namespace basilpoint
