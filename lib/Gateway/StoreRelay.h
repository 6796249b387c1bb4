#pragma once

#include "PeerServer.h"
#include "StoreClient.h"
#include "StoreCodec.h"

#include "basilpoint/Gateway/ChangeLog.h"
#include "basilpoint/Gateway/CommitGroup.h"
#include "basilpoint/Gateway/CommitTracker.h"
#include "basilpoint/Net/FiberSignal.h"

#include <map>

namespace basilpoint {

/// Makes calls to the store for other daemons, groups their commits, and caches the committed records for them.
class StoreRelay {
public:
    /// \param store the store itself, not another relay.
    /// \param knowsAllChanges this relay has been running since the first commit of the deployment.
    StoreRelay(PeerServer&, TransactionalStore& store, bool knowsAllChanges, const Clock&, JsonLog&, Metrics&);

    /// Commits, grouped with commits of other daemons. \throws KeyValueUnavailableError
    KeyTransactionResult commit(const KeyTransaction&);

    CommitTracker& commits() { return m_commits; }

    const StoreHealth& health() const { return m_store.health(); }

    /// How old an answer of recentGet() may be.
    static constexpr Milliseconds recentAge { 1'000 };

private:
    /// A call to the store that several daemons wait for.
    struct SharedCall {
        bool isDone = false;
        /// Encoded answer; empty if the call failed.
        std::string answer;
        FiberSignal done;
    };

    /// The watch of one prefix for all daemons that ask for its changes.
    struct PrefixWatch {
        explicit PrefixWatch(std::int64_t after)
            : log(after)
        {
        }

        ChangeLog log;
        TimePoint askedAt;
        /// Whether the store has answered.
        bool isEstablished = false;
        bool isBroken = false;
        FiberSignal changed;
    };

    std::string snapshot(const std::string& body);
    std::string sharedSnapshot(const std::string& prefix);
    static const std::string& awaitAnswer(SharedCall&);
    std::string recall(const std::string& body);
    std::string attest(const std::string& program);
    std::string get(const std::string& body);
    std::string recentGet(const std::string& body);
    std::string changes(const std::string& body);
    /// Changes from a watch of its own, for a revision before the shared one began.
    std::string readChanges(const StoreQuery&);
    std::shared_ptr<PrefixWatch> watchFor(const StoreQuery&);
    void runWatch(const std::string& prefix, const std::shared_ptr<PrefixWatch>&);
    /// \throws KeyValueUnavailableError if the store does not answer the watch in time.
    void awaitEstablished(PrefixWatch&);
    void sendReadyCalls();
    void run(const CommitGroup::Call&);
    void refuseOutdated();
    void recordResult(const KeyTransaction&, const KeyTransactionResult&);

    const Clock& m_clock;
    StoreClient m_store;
    CommitGroup m_group;
    Metrics& m_metrics;
    CommitTracker m_commits;
    std::map<std::string, std::shared_ptr<PrefixWatch>> m_watches;
    /// Reads of single keys that may be repeated by other daemons, by key.
    struct RecentRead {
        TimePoint begunAt;
        bool isDone = false;
        bool isFailed = false;
        std::optional<KeyValue> item;
        FiberSignal done;
    };
    std::map<std::string, std::shared_ptr<RecentRead>> m_recentReads;
    /// Current reads that have not begun, by prefix.
    std::map<std::string, std::shared_ptr<SharedCall>> m_sharedSnapshots;
    struct CommitOutcome {
        /// Empty if the call failed, so that the outcome stays unknown.
        std::optional<KeyTransactionResult> result;
        bool isRejected = false;
    };
    /// Outcomes of commits for which daemons wait; empty while pending.
    std::map<CommitGroup::Ticket, std::optional<CommitOutcome>> m_commitOutcomes;
    FiberSignal m_outcomeKnown;
    bool m_isTimerSet = false;
};

} // namespace basilpoint
