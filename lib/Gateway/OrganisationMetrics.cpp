#include "OrganisationMetrics.h"

#include <fmt/format.h>

namespace basilpoint {

// Each organisation that is counted by name adds two counters to the metrics and to the summary in the log.
static constexpr std::size_t maxNamed = 50;
static constexpr const char* nameOfOthers = "other";

// Prometheus requires that backslashes, quotes and line feeds in label values are escaped.
static std::string escaped(const std::string& text)
{
    std::string result;
    for (char c : text) {
        if (c == '\\' || c == '"')
            result += '\\';
        result += c == '\n' ? std::string("\\n") : std::string(1, c);
    }
    return result;
}

std::string OrganisationMetrics::labelOf(const std::string& organisation)
{
    bool isNamed = m_named.contains(organisation) || (m_named.size() < maxNamed && m_named.insert(organisation).second);
    return fmt::format("{{organisation=\"{}\"}}", isNamed ? escaped(organisation) : nameOfOthers);
}

void OrganisationMetrics::countRequest(const std::string& organisation)
{
    m_metrics.count("organisation_requests_total" + labelOf(organisation));
}

void OrganisationMetrics::countRefusedByAllowance(const std::string& organisation)
{
    m_metrics.count("organisation_refused_by_allowance_total" + labelOf(organisation));
}

} // namespace basilpoint
