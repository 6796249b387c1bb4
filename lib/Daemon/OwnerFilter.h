#pragma once

#include "DecisionLog.h"
#include "ShardController.h"
#include "ShardDirectory.h"

#include "basilpoint/Daemon/Filter.h"
#include "basilpoint/Net/HttpClient.h"

#include <map>

namespace basilpoint {

/// Routes a request to the owner of its shard: this daemon's controllers or another daemon.
///
/// The daemon that received the request retries while the owner changes, and continues an interrupted stream at the
/// next owner. Requests with POST have an idempotency key, so that an owner recognizes a retry; only idempotent tool
/// calls may lack one.
class OwnerFilter final : public Filter {
public:
    OwnerFilter(const Clock&, HttpClient&, const ShardDirectory&, const ShardController&, DecisionLog&);

    void handle(RequestContext&, const Next& next) override;

    /// Cancels the requests forwarded to \p owner, which is dead; they are retried at the next owner.
    void cancelForwardsTo(const InstanceId& owner);

private:
    const Clock& m_clock;
    HttpClient& m_client;
    const ShardDirectory& m_directory;
    const ShardController& m_shards;
    DecisionLog& m_log;
    /// Forwarded requests in progress, by owner.
    std::multimap<InstanceId, HttpCancellation*> m_forwards;
};

} // namespace basilpoint
