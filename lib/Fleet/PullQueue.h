#pragma once

#include "RevisionTable.h"

#include <optional>

namespace basilpoint {

/// Which documents are asked of which peer, in chunks and not twice at a time.
class PullQueue {
public:
    /// Notes that \p peer has these revisions. Those that are newer than \p table and not asked for
    /// just now are queued. \returns whether any is newer, asked for or not.
    bool want(const InstanceId& peer, const std::map<EnvironmentId, Revision>&, const RevisionTable& table, TimePoint now);

    /// Next chunk to ask of \p peer; empty optional if nothing is left.
    std::optional<std::vector<EnvironmentId>> nextChunk(const InstanceId& peer, TimePoint now);

    /// Documents of \p peer went into \p table; an answer without documents ends the queue of the peer.
    void answered(const InstanceId& peer, bool hadDocuments, const RevisionTable& table);

    void retainPeers(const std::vector<InstanceId>& peers);

private:
    struct Asked {
        Revision revision;
        TimePoint at;
    };

    std::map<InstanceId, std::map<EnvironmentId, Revision>> m_wanted;
    std::map<EnvironmentId, Asked> m_asked;
};

} // namespace basilpoint
