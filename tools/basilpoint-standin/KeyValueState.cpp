#include "KeyValueState.h"

namespace basilpoint::standin {

static constexpr std::size_t maxChanges = 100'000;
static constexpr std::size_t maxChangeBytes = 64 * 1024 * 1024;
static constexpr std::size_t maxValueBytes = 256 * 1024 * 1024;
static constexpr std::size_t entryOverheadBytes = 256;

static std::size_t sizeOf(const std::string& key, const std::string& value)
{
    return key.size() + value.size() + entryOverheadBytes;
}

static std::size_t sizeOf(const ChangeEvent& event)
{
    return sizeOf(event.key, event.value ? event.value->value : std::string());
}

static bool inRange(const std::string& key, const std::string& begin, const std::string& end)
{
    if (end.empty())
        return key == begin;
    return key >= begin && (end == std::string(1, '\0') || key < end);
}

std::map<std::string, StoredValue> KeyValueState::range(const std::string& begin, const std::string& end) const
{
    std::map<std::string, StoredValue> result;
    for (auto it = m_values.lower_bound(begin); it != m_values.end() && inRange(it->first, begin, end); ++it)
        result.insert(*it);
    return result;
}

const StoredValue* KeyValueState::find(const std::string& key) const
{
    auto it = m_values.find(key);
    return it == m_values.end() ? nullptr : &it->second;
}

bool KeyValueState::hasCapacityFor(std::size_t bytes) const
{
    return m_valueBytes + bytes + entryOverheadBytes <= maxValueBytes;
}

bool KeyValueState::put(const std::string& key, const std::string& value, std::int64_t lease)
{
    if (lease != 0 && !m_leases.contains(lease))
        return false;
    ++m_revision;
    StoredValue& stored = m_values[key];
    if (stored.version == 0)
        stored.createRevision = m_revision;
    else
        m_valueBytes -= sizeOf(key, stored.value);
    m_valueBytes += sizeOf(key, value);
    ++stored.version;
    stored.value = value;
    stored.modRevision = m_revision;
    stored.lease = lease;
    recordChange(key, stored);
    return true;
}

std::size_t KeyValueState::remove(const std::string& begin, const std::string& end)
{
    auto removed = range(begin, end);
    if (removed.empty())
        return 0;
    ++m_revision;
    for (const auto& [key, value] : removed) {
        m_valueBytes -= sizeOf(key, value.value);
        m_values.erase(key);
        recordChange(key, std::nullopt);
    }
    return removed.size();
}

std::int64_t KeyValueState::grantLease(std::chrono::seconds ttl, TimePoint now)
{
    m_leases[++m_nextLease] = { ttl, now + ttl };
    return m_nextLease;
}

std::chrono::seconds KeyValueState::keepAlive(std::int64_t lease, TimePoint now)
{
    auto it = m_leases.find(lease);
    if (it == m_leases.end())
        return std::chrono::seconds(0);
    it->second.expiresAt = now + it->second.ttl;
    return it->second.ttl;
}

void KeyValueState::revokeLease(std::int64_t lease)
{
    m_leases.erase(lease);
    std::vector<std::string> removed;
    for (const auto& [key, value] : m_values) {
        if (value.lease == lease)
            removed.push_back(key);
    }
    for (const std::string& key : removed)
        remove(key, "");
}

void KeyValueState::expire(TimePoint now)
{
    std::vector<std::int64_t> expired;
    for (const auto& [id, lease] : m_leases) {
        if (lease.expiresAt <= now)
            expired.push_back(id);
    }
    for (std::int64_t id : expired)
        revokeLease(id);
}

std::vector<ChangeEvent> KeyValueState::changesAfter(std::int64_t revision, const std::string& begin, const std::string& end) const
{
    std::vector<ChangeEvent> result;
    for (const ChangeEvent& event : m_changes) {
        if (event.revision > revision && inRange(event.key, begin, end))
            result.push_back(event);
    }
    return result;
}

void KeyValueState::recordChange(const std::string& key, std::optional<StoredValue> value)
{
    m_changes.push_back({ key, std::move(value), m_revision });
    m_changeBytes += sizeOf(m_changes.back());
    while (m_changes.size() > maxChanges || m_changeBytes > maxChangeBytes) {
        m_compactedRevision = m_changes.front().revision;
        m_changeBytes -= sizeOf(m_changes.front());
        m_changes.pop_front();
    }
}

} // namespace basilpoint::standin
