#include "basilpoint/Gateway/RecordCache.h"

namespace basilpoint {

// Memory of a record beyond its bytes: two nodes and three strings.
static constexpr std::size_t overheadBytes = 200;

static std::size_t bytesOf(const KeyValue& record)
{
    return overheadBytes + 2 * record.key.size() + record.value.size();
}

RecordCache::Group& RecordCache::touch(const std::string& name)
{
    auto [it, isNew] = m_groups.try_emplace(name);
    if (isNew)
        it->second.recent = m_recent.insert(m_recent.end(), name);
    else
        m_recent.splice(m_recent.end(), m_recent, it->second.recent);
    return it->second;
}

void RecordCache::put(const std::string& name, const KeyValue& record)
{
    Group& group = touch(name);
    auto [it, isNew] = group.records.try_emplace(record.key);
    if (!isNew && it->second.modRevision >= record.modRevision)
        return;
    std::size_t before = isNew ? 0 : bytesOf(it->second);
    it->second = record;
    std::size_t after = bytesOf(record);
    group.bytes += after - before;
    m_bytes += after - before;
    evict();
}

std::vector<KeyValue> RecordCache::find(const std::string& name)
{
    std::vector<KeyValue> records;
    if (!m_groups.contains(name))
        return records;
    for (const auto& [key, record] : touch(name).records)
        records.push_back(record);
    return records;
}

std::optional<KeyValue> RecordCache::find(const std::string& name, const std::string& key) const
{
    auto group = m_groups.find(name);
    if (group == m_groups.end())
        return std::nullopt;
    auto it = group->second.records.find(key);
    return it == group->second.records.end() ? std::nullopt : std::optional(it->second);
}

void RecordCache::forget(const std::string& name)
{
    auto it = m_groups.find(name);
    if (it == m_groups.end())
        return;
    m_bytes -= it->second.bytes;
    m_recent.erase(it->second.recent);
    m_groups.erase(it);
}

void RecordCache::evict()
{
    for (; m_bytes > m_maxBytes && m_recent.size() > 1; ++m_evictions)
        forget(std::string(m_recent.front()));
}

} // namespace basilpoint
