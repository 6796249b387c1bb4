#include "basilpoint/Shard/AppendQueue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace basilpoint {

void AppendQueue::setProgress(std::uint64_t length, const HolderSet& holders)
{
    m_progress.clear();
    for (const HolderId& holder : holders)
        m_progress[holder] = length;
}

void AppendQueue::reset(std::uint64_t length, const HolderSet& holders)
{
    m_first = length;
    m_entries.clear();
    m_tickets.clear();
    m_acknowledged.clear();
    setProgress(length, holders);
}

void AppendQueue::resume(std::uint64_t length, const HolderSet& holders)
{
    assert(length >= m_first && length <= end() && "the copied log contains all acknowledged entries, and only entries that were pushed");
    setProgress(length, holders);
}

void AppendQueue::rebase(std::uint64_t covered, std::uint64_t length, const HolderSet& holders)
{
    for (; !m_tickets.empty() && m_tickets.front().end <= covered; m_tickets.pop_front())
        m_acknowledged.push_back(m_tickets.front().ticket);
    m_entries.erase(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(covered - m_first));
    for (Ticket& it : m_tickets)
        it.end = it.end - covered + length;
    m_first = length;
    setProgress(length, holders);
}

void AppendQueue::retain(const HolderSet& holders)
{
    std::erase_if(m_progress, [&](const auto& it) { return std::find(holders.begin(), holders.end(), it.first) == holders.end(); });
}

void AppendQueue::push(std::uint64_t ticket, std::vector<std::string> entries, TimePoint now)
{
    for (std::string& entry : entries)
        m_entries.push_back(std::move(entry));
    m_tickets.push_back({ ticket, end(), now });
}

std::optional<AppendRequest> AppendQueue::next(const HolderId& holder, const LogVersion& version, std::size_t maxBytes) const
{
    auto it = m_progress.find(holder);
    if (it == m_progress.end() || it->second >= end())
        return {};
    AppendRequest request { version, it->second, {} };
    std::size_t bytes = 0;
    for (std::uint64_t n = it->second; n < end() && bytes < maxBytes; ++n) {
        const std::string& entry = m_entries[n - m_first];
        request.entries.push_back(entry);
        bytes += entry.size();
    }
    return request;
}

bool AppendQueue::recordProgress(const HolderId& holder, std::uint64_t length)
{
    auto it = m_progress.find(holder);
    if (it == m_progress.end())
        return true;
    if (length < it->second || length > end())
        return false;
    it->second = length;
    return true;
}

std::vector<std::uint64_t> AppendQueue::takeAcknowledged()
{
    std::uint64_t common = end();
    for (const auto& [holder, length] : m_progress)
        common = std::min(common, length);
    for (; !m_tickets.empty() && m_tickets.front().end <= common; m_tickets.pop_front())
        m_acknowledged.push_back(m_tickets.front().ticket);
    m_entries.erase(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(common - m_first));
    m_first = common;
    return std::exchange(m_acknowledged, {});
}

std::optional<TimePoint> AppendQueue::waitingSince() const
{
    if (m_tickets.empty())
        return {};
    return m_tickets.front().since;
}

} // namespace basilpoint
