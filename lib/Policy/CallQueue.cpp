#include "basilpoint/Policy/CallQueue.h"

namespace basilpoint {

CallQueue::CallQueue(Milliseconds agingBound, Milliseconds urgentSlack)
    : m_agingBound(agingBound)
    , m_urgentSlack(urgentSlack)
{
}

void CallQueue::push(const QueuedCall& call)
{
    if (!m_calls.emplace(call.id, call).second)
        return;
    m_byLevel.insert(orderOf(call));
    m_byArrival.insert({ call.arrivedAt, call.id });
    if (call.deadline)
        m_byDeadline.insert({ *call.deadline, call.id });
}

bool CallQueue::erase(CallId id)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end())
        return false;
    const QueuedCall& call = it->second;
    m_byLevel.erase(orderOf(call));
    m_byArrival.erase({ call.arrivedAt, id });
    if (call.deadline)
        m_byDeadline.erase({ *call.deadline, id });
    m_calls.erase(it);
    return true;
}

void CallQueue::visit(TimePoint now, std::size_t scanLimit, const std::function<Visit(CallId)>& visitor)
{
    bool stopped = false;
    std::size_t n = 0;
    // A taken call is erased from all indexes, so each walk steps on before it shows the call.
    auto show = [&](auto& index, auto idOf, auto within) {
        for (auto it = index.begin(); !stopped && it != index.end() && within(*it);) {
            CallId id = idOf(*it++);
            Visit result = visitor(id);
            if (result == Visit::Take)
                erase(id);
            stopped = result == Visit::Stop || ++n >= scanLimit;
        }
    };
    auto second = [](const auto& entry) { return entry.second; };
    show(m_byArrival, second, [&](const auto& entry) { return now - entry.first >= m_agingBound; });
    show(m_byDeadline, second, [&](const auto& entry) { return entry.first - now <= m_urgentSlack; });
    show(
        m_byLevel, [](const Order& order) { return order.id; }, [](const Order&) { return true; });
}

std::vector<CallId> CallQueue::takeExpired(TimePoint limit)
{
    std::vector<CallId> expired;
    for (auto it = m_byDeadline.begin(); it != m_byDeadline.end() && it->first <= limit; ++it)
        expired.push_back(it->second);
    for (CallId id : expired)
        erase(id);
    return expired;
}

bool CallQueue::isAged(CallId id, TimePoint now) const
{
    auto it = m_calls.find(id);
    return it != m_calls.end() && now - it->second.arrivedAt >= m_agingBound;
}

std::optional<TimePoint> CallQueue::oldestArrival() const
{
    if (m_byArrival.empty())
        return std::nullopt;
    return m_byArrival.begin()->first;
}

} // namespace basilpoint
