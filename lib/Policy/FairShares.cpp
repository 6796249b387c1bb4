#include "basilpoint/Policy/FairShares.h"

#include <algorithm>

namespace basilpoint {

// Work by which an operator may run ahead of its share before its calls go down one level.
static constexpr double workPerPenalty = 400'000;
static constexpr unsigned maxPenalty = 3;

FairShares::Place FairShares::enter(const OperatorId& owner, double work)
{
    if (m_shares.size() >= m_dropAt)
        dropIdle();
    Share& share = m_shares[owner];
    double start = std::max(m_virtualTime, share.finishTag);
    share.finishTag = start + work / share.weight;
    double ahead = (start - m_virtualTime) / workPerPenalty;
    return { start, std::min(maxPenalty, static_cast<unsigned>(ahead)) };
}

void FairShares::dispatched(double startTag)
{
    m_virtualTime = std::max(m_virtualTime, startTag);
}

void FairShares::setWeight(const OperatorId& owner, double weight)
{
    m_shares[owner].weight = weight;
}

void FairShares::dropIdle()
{
    std::erase_if(m_shares, [&](const auto& entry) { return entry.second.finishTag <= m_virtualTime && entry.second.weight == 1; });
    // Doubling keeps the cost of the sweep constant per entry.
    m_dropAt = std::max<std::size_t>(m_dropAt, 2 * m_shares.size());
}

} // namespace basilpoint
