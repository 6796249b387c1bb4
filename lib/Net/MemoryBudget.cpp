#include "basilpoint/Net/MemoryBudget.h"

#include <algorithm>

namespace basilpoint {

std::size_t MemoryBudget::largeLimit() const
{
    return m_limit - std::max(m_limit / smallDivisor, std::min(m_limit, m_small));
}

std::size_t MemoryBudget::smallLimit() const
{
    return std::max(m_limit / smallDivisor, m_limit - std::min(m_limit, m_large));
}

MemoryBudget::Share::~Share()
{
    (m_bytes > maxSmallBytes ? m_budget.m_large : m_budget.m_small) -= m_bytes;
    if (m_bytes > 0)
        m_budget.m_released.notifyAll();
}

// A share that grows beyond a small amount moves to the other part of the budget.
bool MemoryBudget::Share::take(std::size_t bytes)
{
    std::size_t before = m_bytes;
    std::size_t after = before + bytes;
    bool wasLarge = before > maxSmallBytes;
    bool isLarge = after > maxSmallBytes;
    std::size_t& part = isLarge ? m_budget.m_large : m_budget.m_small;
    std::size_t limit = isLarge ? m_budget.largeLimit() : m_budget.smallLimit();
    std::size_t others = part - (wasLarge == isLarge ? before : 0);
    if (after > limit - std::min(limit, others))
        return false;
    (wasLarge ? m_budget.m_large : m_budget.m_small) -= before;
    part += after;
    m_bytes = after;
    return true;
}

bool MemoryBudget::Share::takeAlone(std::size_t bytes, std::size_t ofSameCall)
{
    std::size_t before = m_bytes > maxSmallBytes ? m_bytes : 0;
    std::size_t own = before + (ofSameCall > maxSmallBytes ? ofSameCall : 0);
    if (m_bytes + bytes <= maxSmallBytes || m_budget.m_large > own)
        return false;
    m_budget.m_small -= m_bytes - before;
    m_budget.m_large += m_bytes - before + bytes;
    m_bytes += bytes;
    return true;
}

bool MemoryBudget::Share::awaitRoom(std::size_t bytes, Milliseconds limit, std::size_t ofSameCall)
{
    auto tryTake = [&] { return take(bytes) || takeAlone(bytes, ofSameCall); };
    // Small amounts wait for each other only.
    bool isLarge = m_bytes + bytes > maxSmallBytes;
    if ((!isLarge || m_budget.m_waiting.empty()) && tryTake())
        return true;
    TimePoint end = std::chrono::steady_clock::now() + limit;
    if (isLarge)
        m_budget.m_waiting.push_back(this);
    bool isTaken = false;
    while (!isTaken) {
        auto left = std::chrono::ceil<Milliseconds>(end - std::chrono::steady_clock::now());
        if (left.count() <= 0)
            break;
        m_budget.m_released.waitFor(left);
        isTaken = (!isLarge || m_budget.m_waiting.front() == this) && tryTake();
    }
    if (isLarge) {
        std::erase(m_budget.m_waiting, this);
        m_budget.m_released.notifyAll();
    }
    return isTaken;
}

} // namespace basilpoint
