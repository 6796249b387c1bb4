#pragma once

#include "RevisionTable.h"

namespace basilpoint {

/// Which documents are asked of which peer, in chunks and not twice at a time.
class PullQueue {
public:
    /// Notes that \p peer has these revisions. Those that are newer than \p table and not asked for
    /// just now are queued. \returns whether any is newer, asked for or not.
    bool want(const InstanceId& peer, const std::map<EnvironmentId, Revision>&, const RevisionTable& table, TimePoint now);

    /// Next chunk to ask of \p peer; empty if nothing is left or the peer owes an answer.
    std::vector<EnvironmentId> nextChunk(const InstanceId& peer, const RevisionTable& table, TimePoint now);

    /// Whether documents of \p peer are still wanted.
    bool isWaitingFor(const InstanceId& peer) const { return m_wanted.contains(peer); }

    /// Documents of \p peer went into \p table; an answer without documents ends the queue of the peer.
    void answered(const InstanceId& peer, bool hadDocuments, const RevisionTable& table);

    void retainPeers(const std::vector<InstanceId>& peers);

private:
    struct Asked {
        InstanceId peer;
        Revision revision;
        TimePoint at;
    };

    void dropSatisfied(const InstanceId& peer, const RevisionTable&);
    bool isAsked(const EnvironmentId&, Revision, TimePoint now) const;

    std::map<InstanceId, std::map<EnvironmentId, Revision>> m_wanted;
    /// Peers that owe an answer, and since when.
    std::map<InstanceId, TimePoint> m_owing;
    std::map<EnvironmentId, Asked> m_asked;
};

} // namespace basilpoint
