#include "basilpoint/Policy/FairShares.h"

#include <algorithm>

namespace basilpoint {

// Work in excess of an operator's share, in prefill-token equivalents, that adds one level to its calls.
static constexpr double workPerPenalty = 400'000;
static constexpr unsigned maxPenalty = 3;

FairShares::QueuePosition FairShares::addCall(const OperatorId& owner, double work)
{
    if (m_shares.size() >= m_sweepThreshold)
        removeIdle();
    Share& share = m_shares[owner];
    double start = std::max(m_virtualTime, share.finishTag);
    share.finishTag = start + work / share.weight;
    double ahead = (start - m_virtualTime) / workPerPenalty;
    return { start, std::min(maxPenalty, static_cast<unsigned>(ahead)) };
}

double FairShares::startTagOf(const OperatorId& owner) const
{
    auto it = m_shares.find(owner);
    return it == m_shares.end() ? m_virtualTime : std::max(m_virtualTime, it->second.finishTag);
}

void FairShares::dispatched(double startTag)
{
    m_virtualTime = std::max(m_virtualTime, startTag);
}

void FairShares::setWeight(const OperatorId& owner, double weight)
{
    m_shares[owner].weight = weight;
}

void FairShares::removeIdle()
{
    std::erase_if(m_shares, [&](const auto& entry) { return entry.second.finishTag <= m_virtualTime && entry.second.weight == 1; });
    // Doubling the threshold keeps the amortized cost per entry constant.
    m_sweepThreshold = std::max<std::size_t>(m_sweepThreshold, 2 * m_shares.size());
}

} // namespace basilpoint
