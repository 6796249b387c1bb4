#pragma once

#include "basilpoint/Support/Metrics.h"

#include <set>
#include <string>

namespace basilpoint {

/// Counts requests by organisation. The first organisations that make requests are counted by name, the others together.
class OrganisationMetrics {
public:
    explicit OrganisationMetrics(Metrics& metrics)
        : m_metrics(metrics)
    {
    }

    void countRequest(const std::string& organisation);
    /// Counts a request that was refused since the organisation's allowance was used up.
    void countRefusedByAllowance(const std::string& organisation);

private:
    std::string labelOf(const std::string& organisation);

    Metrics& m_metrics;
    std::set<std::string> m_named;
};

} // namespace basilpoint
