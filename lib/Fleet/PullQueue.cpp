#include "PullQueue.h"

#include <algorithm>

namespace basilpoint {

/// A document requested from one peer may be requested from another after this.
static constexpr auto pullTimeout = std::chrono::milliseconds(800);
static constexpr std::size_t chunkDocuments = 128;

bool PullQueue::isInFlight(const EnvironmentId& id, Revision revision, TimePoint now) const
{
    auto inFlight = m_inFlight.find(id);
    return inFlight != m_inFlight.end() && inFlight->second.revision >= revision && now < inFlight->second.at + pullTimeout;
}

bool PullQueue::addAnnounced(const InstanceId& peer, const std::map<EnvironmentId, Revision>& revisions, const RevisionTable& table, TimePoint now)
{
    bool anyNewer = false;
    for (const auto& [id, revision] : revisions) {
        if (revision <= table.revision(id))
            continue;
        anyNewer = true;
        if (!isInFlight(id, revision, now))
            m_pending[peer][id] = revision;
    }
    return anyNewer;
}

void PullQueue::dropUpToDate(const InstanceId& peer, const RevisionTable& table)
{
    auto pending = m_pending.find(peer);
    if (pending == m_pending.end())
        return;
    std::erase_if(pending->second, [&](const auto& it) { return table.revision(it.first) >= it.second; });
    if (pending->second.empty())
        m_pending.erase(pending);
}

std::vector<EnvironmentId> PullQueue::nextChunk(const InstanceId& peer, const RevisionTable& table, TimePoint now)
{
    dropUpToDate(peer, table);
    std::vector<EnvironmentId> chunk;
    auto awaited = m_awaitingReply.find(peer);
    // One chunk at a time: each reply triggers the next request, so that parallel chunks would multiply.
    if (!m_pending.contains(peer) || (awaited != m_awaitingReply.end() && now < awaited->second + pullTimeout))
        return chunk;
    for (const auto& [id, revision] : m_pending[peer]) {
        if (chunk.size() == chunkDocuments)
            break;
        if (isInFlight(id, revision, now))
            continue;
        chunk.push_back(id);
        m_inFlight[id] = { peer, revision, now };
    }
    if (!chunk.empty())
        m_awaitingReply[peer] = now;
    return chunk;
}

void PullQueue::answered(const InstanceId& peer, bool hadDocuments, const RevisionTable& table)
{
    m_awaitingReply.erase(peer);
    // Documents that the reply omitted because of its size limit are requested again.
    std::erase_if(m_inFlight, [&](const auto& it) { return it.second.peer == peer || table.revision(it.first) >= it.second.revision; });
    dropUpToDate(peer, table);
    if (!hadDocuments)
        m_pending.erase(peer);
}

void PullQueue::retainPeers(const std::vector<InstanceId>& peers)
{
    auto isGone = [&](const auto& it) { return std::find(peers.begin(), peers.end(), it.first) == peers.end(); };
    std::erase_if(m_pending, isGone);
    std::erase_if(m_awaitingReply, isGone);
}

} // namespace basilpoint
