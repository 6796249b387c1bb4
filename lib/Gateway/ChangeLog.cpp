#include "basilpoint/Gateway/ChangeLog.h"

#include <algorithm>
#include <utility>

namespace basilpoint {

void ChangeLog::append(std::vector<KeyValue> items, std::int64_t next)
{
    m_upTo = std::max(m_upTo, next);
    if (items.empty())
        return;
    m_items += items.size();
    m_batches.push_back({ m_upTo, std::move(items) });
    while (m_items > maxItems && m_batches.size() > 1) {
        m_from = m_batches.front().next;
        m_items -= m_batches.front().items.size();
        m_batches.pop_front();
    }
}

std::vector<KeyValue> ChangeLog::since(std::int64_t after) const
{
    std::vector<KeyValue> found;
    for (const Batch& batch : m_batches)
        if (batch.next > after)
            found.insert(found.end(), batch.items.begin(), batch.items.end());
    return found;
}

} // namespace basilpoint
