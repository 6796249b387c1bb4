#include "PullQueue.h"

#include <algorithm>

namespace basilpoint {

/// A document asked of one peer is asked of another after this.
static constexpr auto pullTimeout = std::chrono::milliseconds(800);
static constexpr std::size_t chunkDocuments = 128;

bool PullQueue::want(const InstanceId& peer, const std::map<EnvironmentId, Revision>& revisions, const RevisionTable& table, TimePoint now)
{
    bool anyNewer = false;
    for (const auto& [id, revision] : revisions) {
        if (revision <= table.revision(id))
            continue;
        anyNewer = true;
        auto asked = m_asked.find(id);
        if (asked != m_asked.end() && asked->second.revision >= revision && now < asked->second.at + pullTimeout)
            continue;
        m_wanted[peer][id] = revision;
    }
    return anyNewer;
}

std::optional<std::vector<EnvironmentId>> PullQueue::nextChunk(const InstanceId& peer, TimePoint now)
{
    auto wanted = m_wanted.find(peer);
    if (wanted == m_wanted.end())
        return {};
    std::vector<EnvironmentId> chunk;
    for (const auto& [id, revision] : wanted->second) {
        if (chunk.size() == chunkDocuments)
            break;
        chunk.push_back(id);
        m_asked[id] = { revision, now };
    }
    return chunk;
}

void PullQueue::answered(const InstanceId& peer, bool hadDocuments, const RevisionTable& table)
{
    std::erase_if(m_asked, [&](const auto& it) { return table.revision(it.first) >= it.second.revision; });
    auto wanted = m_wanted.find(peer);
    if (wanted == m_wanted.end())
        return;
    std::erase_if(wanted->second, [&](const auto& it) { return table.revision(it.first) >= it.second; });
    if (wanted->second.empty() || !hadDocuments)
        m_wanted.erase(wanted);
}

void PullQueue::retainPeers(const std::vector<InstanceId>& peers)
{
    std::erase_if(m_wanted, [&](const auto& it) { return std::find(peers.begin(), peers.end(), it.first) == peers.end(); });
}

} // namespace basilpoint
