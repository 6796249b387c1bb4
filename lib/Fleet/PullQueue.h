#pragma once

#include "RevisionTable.h"

namespace basilpoint {

/// Documents to pull from each peer, in chunks and without requesting a document from two peers at a time.
class PullQueue {
public:
    /// Adds revisions that \p peer has announced. Those that are newer than in \p table and not in flight are queued.
    /// \returns whether any is newer, in flight or not.
    bool addAnnounced(const InstanceId& peer, const std::map<EnvironmentId, Revision>&, const RevisionTable& table, TimePoint now);

    /// Next chunk to request from \p peer; empty if nothing is left or a reply of the peer is outstanding.
    std::vector<EnvironmentId> nextChunk(const InstanceId& peer, const RevisionTable& table, TimePoint now);

    /// Whether documents from \p peer are queued or in flight.
    bool hasPending(const InstanceId& peer) const { return m_pending.contains(peer); }

    /// Handles a reply whose documents were applied to \p table. A reply without documents empties the peer's queue.
    void answered(const InstanceId& peer, bool hadDocuments, const RevisionTable& table);

    void retainPeers(const std::vector<InstanceId>& peers);

private:
    struct InFlightPull {
        InstanceId peer;
        Revision revision;
        TimePoint at;
    };

    void dropUpToDate(const InstanceId& peer, const RevisionTable&);
    bool isInFlight(const EnvironmentId&, Revision, TimePoint now) const;

    std::map<InstanceId, std::map<EnvironmentId, Revision>> m_pending;
    /// Peers whose reply is outstanding, and since when.
    std::map<InstanceId, TimePoint> m_awaitingReply;
    std::map<EnvironmentId, InFlightPull> m_inFlight;
};

} // namespace basilpoint
