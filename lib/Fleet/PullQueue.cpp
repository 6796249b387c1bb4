#include "PullQueue.h"

#include <algorithm>

namespace basilpoint {

/// A document asked of one peer is asked of another after this.
static constexpr auto pullTimeout = std::chrono::milliseconds(800);
static constexpr std::size_t chunkDocuments = 128;

bool PullQueue::isAsked(const EnvironmentId& id, Revision revision, TimePoint now) const
{
    auto asked = m_asked.find(id);
    return asked != m_asked.end() && asked->second.revision >= revision && now < asked->second.at + pullTimeout;
}

bool PullQueue::want(const InstanceId& peer, const std::map<EnvironmentId, Revision>& revisions, const RevisionTable& table, TimePoint now)
{
    bool anyNewer = false;
    for (const auto& [id, revision] : revisions) {
        if (revision <= table.revision(id))
            continue;
        anyNewer = true;
        if (!isAsked(id, revision, now))
            m_wanted[peer][id] = revision;
    }
    return anyNewer;
}

void PullQueue::dropSatisfied(const InstanceId& peer, const RevisionTable& table)
{
    auto wanted = m_wanted.find(peer);
    if (wanted == m_wanted.end())
        return;
    std::erase_if(wanted->second, [&](const auto& it) { return table.revision(it.first) >= it.second; });
    if (wanted->second.empty())
        m_wanted.erase(wanted);
}

std::vector<EnvironmentId> PullQueue::nextChunk(const InstanceId& peer, const RevisionTable& table, TimePoint now)
{
    dropSatisfied(peer, table);
    std::vector<EnvironmentId> chunk;
    auto owing = m_owing.find(peer);
    // One chunk at a time: each answer asks for the next, and more would multiply.
    if (!m_wanted.contains(peer) || (owing != m_owing.end() && now < owing->second + pullTimeout))
        return chunk;
    for (const auto& [id, revision] : m_wanted[peer]) {
        if (chunk.size() == chunkDocuments)
            break;
        if (isAsked(id, revision, now))
            continue;
        chunk.push_back(id);
        m_asked[id] = { peer, revision, now };
    }
    if (!chunk.empty())
        m_owing[peer] = now;
    return chunk;
}

void PullQueue::answered(const InstanceId& peer, bool hadDocuments, const RevisionTable& table)
{
    m_owing.erase(peer);
    // What the answer left out for its size is asked for again.
    std::erase_if(m_asked, [&](const auto& it) { return it.second.peer == peer || table.revision(it.first) >= it.second.revision; });
    dropSatisfied(peer, table);
    if (!hadDocuments)
        m_wanted.erase(peer);
}

void PullQueue::retainPeers(const std::vector<InstanceId>& peers)
{
    auto isGone = [&](const auto& it) { return std::find(peers.begin(), peers.end(), it.first) == peers.end(); };
    std::erase_if(m_wanted, isGone);
    std::erase_if(m_owing, isGone);
}

} // namespace basilpoint
