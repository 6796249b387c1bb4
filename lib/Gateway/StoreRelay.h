#pragma once

#include "PeerServer.h"
#include "StoreClient.h"
#include "StoreCodec.h"

#include "basilpoint/Gateway/CommitGroup.h"
#include "basilpoint/Gateway/CommitTracker.h"
#include "basilpoint/Net/FiberSignal.h"

#include <map>

namespace basilpoint {

/// Makes calls to the store for other daemons, groups their commits, and remembers for them what it has
/// committed.
class StoreRelay {
public:
    /// \param store the service itself, not by way of another relay.
    /// \param knowsAllChanges this relay has been there since the first commit of the deployment.
    StoreRelay(PeerServer&, TransactionalStore& store, bool knowsAllChanges, const Clock&, JsonLog&, Metrics&);

    /// Commits together with what others have to commit. \throws KeyValueUnavailableError
    KeyTransactionResult commit(const KeyTransaction&);

    CommitTracker& commits() { return m_commits; }

    const StoreHealth& health() const { return m_store.health(); }

private:
    struct SharedWait {
        bool isDone = false;
        /// Encoded changes; empty if the wait broke.
        std::string answer;
        FiberSignal done;
    };

    std::string snapshot(const std::string& body);
    std::string recall(const std::string& body);
    std::string attest(const std::string& program);
    std::string get(const std::string& body);
    std::string changes(const std::string& body);
    std::string awaitShared(const StoreQuery&);
    void pump();
    void run(const CommitGroup::Call&);
    void refuseOutdated();
    void noteResult(const KeyTransaction&, const KeyTransactionResult&);

    const Clock& m_clock;
    StoreClient m_store;
    CommitGroup m_group;
    Metrics& m_metrics;
    CommitTracker m_commits;
    /// Waits on their way, by what they wait for; daemons that ask the same share one.
    std::map<std::pair<std::string, std::int64_t>, std::shared_ptr<SharedWait>> m_waits;
    /// Fate of the commits that callers wait for: not set while unknown, set and empty if it stays so.
    std::map<CommitGroup::Ticket, std::optional<std::optional<KeyTransactionResult>>> m_waiting;
    FiberSignal m_settled;
    bool m_isTimerSet = false;
};

} // namespace basilpoint
