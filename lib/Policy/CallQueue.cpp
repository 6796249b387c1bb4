#include "basilpoint/Policy/CallQueue.h"

namespace basilpoint {

// If this many calls without a cached prefix find no replica with free memory, the following ones are unlikely to.
static constexpr std::size_t maxSkippedWithoutCache = 8;

CallQueue::CallQueue(Milliseconds agingBound, Milliseconds urgentSlack)
    : m_agingBound(agingBound)
    , m_urgentSlack(urgentSlack)
{
}

void CallQueue::push(const QueuedCall& call)
{
    if (!m_calls.emplace(call.id, call).second)
        return;
    orderedSetOf(call).insert(dispatchKeyOf(call));
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
    orderedSetOf(call).erase(dispatchKeyOf(call));
    m_byArrival.erase({ call.arrivedAt, id });
    if (call.deadline)
        m_byDeadline.erase({ *call.deadline, id });
    m_calls.erase(it);
    return true;
}

void CallQueue::visit(TimePoint now, std::size_t scanLimit, const std::function<Visit(CallId)>& visitor)
{
    bool stopped = false;
    // A taken call is erased from all indexes, so the iterator is advanced before the visit.
    auto visitIndex = [&](auto& index, std::size_t limit, auto idOf, auto within) {
        std::size_t skipped = 0;
        for (auto it = index.begin(); !stopped && it != index.end() && within(*it);) {
            CallId id = idOf(*it++);
            Visit result = visitor(id);
            if (result == Visit::Take)
                erase(id);
            stopped = result == Visit::Stop;
            if (result == Visit::Skip && ++skipped >= limit)
                return;
        }
    };
    auto second = [](const auto& entry) { return entry.second; };
    visitIndex(m_byArrival, scanLimit, second, [&](const auto& entry) { return now - entry.first >= m_agingBound; });
    visitIndex(m_byDeadline, scanLimit, second, [&](const auto& entry) { return entry.first - now <= m_urgentSlack; });
    auto idOf = [](const DispatchKey& key) { return key.id; };
    auto all = [](const DispatchKey&) { return true; };
    visitIndex(m_withoutCache, maxSkippedWithoutCache, idOf, all);
    visitIndex(m_withCache, scanLimit, idOf, all);
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
