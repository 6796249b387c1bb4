#pragma once

#include "DecisionLog.h"
#include "ShardController.h"
#include "ShardDirectory.h"

#include "basilpoint/Daemon/Filter.h"
#include "basilpoint/Net/HttpClient.h"

#include <map>

namespace basilpoint {

/// Brings a request to the owner of its shard: to this daemon's controllers or to another daemon.
///
/// The entry daemon tries again while ownership moves, and continues a streamed answer at the
/// next owner where it broke off. Every request carries a key, so that a second try is a repeat.
class OwnerFilter final : public Filter {
public:
    OwnerFilter(const Clock&, HttpClient&, const ShardDirectory&, const ShardController&, DecisionLog&);

    void handle(RequestContext&, const Next& next) override;

    /// \p owner is dead: requests that wait for its answer are tried elsewhere.
    void ownerLost(const InstanceId& owner);

private:
    const Clock& m_clock;
    HttpClient& m_client;
    const ShardDirectory& m_directory;
    const ShardController& m_shards;
    DecisionLog& m_log;
    /// Calls under way at each owner.
    std::multimap<InstanceId, HttpCancellation*> m_forwards;
};

} // namespace basilpoint
