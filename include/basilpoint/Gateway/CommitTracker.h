#pragma once

#include "basilpoint/Gateway/RecordCache.h"
#include "basilpoint/Net/TransactionalStore.h"
#include "basilpoint/Turns/TurnLedger.h"

namespace basilpoint {

/// Records of programs that a keeper has committed.
///
/// Daemons ask for the records of programs that another daemon served. During a store outage they also ask what a
/// terminated daemon has committed: all keepers together know every commit that was not sent directly to the store.
class CommitTracker {
public:
    /// \param knowsAllChanges neither an earlier lifetime of this keeper nor a predecessor has made commits.
    CommitTracker(std::size_t maxBytes, bool knowsAllChanges, TimePoint now);

    /// The store executed the transaction.
    void stored(const KeyTransaction&, std::int64_t revision, TimePoint now);

    /// A condition failed; \p current contains the records of the conditions' keys that exist.
    void refused(const KeyTransaction&, const std::vector<KeyValue>& current, TimePoint now);

    /// The outcome is unknown: the store may execute the transaction at any time while its conditions hold.
    void markUnknown(const KeyTransaction&, TimePoint now);

    /// This keeper has no predecessor in the list of daemons, whose commits it could be missing.
    void setNoPredecessor();

    /// A keeper was removed, so that commits known only to it are missing.
    void keeperRemoved(TimePoint now);

    /// Known records with \p prefix that are newer than revision \p after.
    std::vector<KeyValue> recall(const std::string& prefix, std::int64_t after);

    /// The newest known record of \p key.
    std::optional<KeyValue> latest(const std::string& key) const;

    /// Attests a program's account. \p pending are transactions that may still be sent or executed.
    /// \returns an attestation that is complete if it includes every commit by this keeper.
    AccountAttestation attest(const ProgramId&, const std::vector<KeyTransaction>& pending, TimePoint now);

    /// Longer than any record is kept after the last turn of its program.
    static constexpr std::chrono::minutes longestRetention { 2 };

private:
    void remember(const KeyValue&, TimePoint now);
    void markIncomplete(TimePoint now) { m_incompleteUntil = now + longestRetention; }

    RecordCache m_cache;
    /// Transactions with unknown outcome by the key of the account that they write; dropped once a newer account is
    /// known.
    std::map<std::string, std::vector<KeyTransaction>> m_unknown;
    /// Until this time, commits to records that have not expired may be missing here.
    TimePoint m_incompleteUntil;
};

} // namespace basilpoint
