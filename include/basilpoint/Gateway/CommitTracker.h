#pragma once

#include "basilpoint/Gateway/RecordCache.h"
#include "basilpoint/Net/TransactionalStore.h"
#include "basilpoint/Turns/TurnLedger.h"

namespace basilpoint {

/// What a keeper knows of programs from the commits that went by it.
///
/// Answers to daemons that do not know a program which another one served, and, in an outage, to those that must
/// know what a dead daemon did: all keepers together have seen every commit that did not go past them.
class CommitTracker {
public:
    /// \param knowsAllChanges no earlier lifetime of this keeper, nor a keeper before it, has seen commits.
    CommitTracker(std::size_t maxBytes, bool knowsAllChanges, TimePoint now);

    /// The store carried out the transaction.
    void stored(const KeyTransaction&, std::int64_t revision, TimePoint now);

    /// A condition did not hold; \p current holds the conditions' keys that exist.
    void refused(const KeyTransaction&, const std::vector<KeyValue>& current, TimePoint now);

    /// The store may carry out the transaction, also later, as long as its conditions hold.
    void markUnknown(const KeyTransaction&, TimePoint now);

    /// This keeper follows none in the list, so that there was nobody whose commits it misses.
    void setNoPredecessor();

    /// A keeper is gone, and with it what only it has seen.
    void keeperRemoved(TimePoint now);

    /// Records below \p prefix that are newer than \p after.
    std::vector<KeyValue> recall(const std::string& prefix, std::int64_t after);

    /// The newest record of \p key that is known.
    std::optional<KeyValue> latest(const std::string& key) const;

    /// What is known of a program's account. \p open are transactions that may yet be sent.
    /// \returns a word that is complete if no commit by this keeper is missing in it.
    AccountAttestation attest(const ProgramId&, const std::vector<KeyTransaction>& open, TimePoint now);

    /// Longer than any record is kept after its program's last turn.
    static constexpr std::chrono::minutes longestRetention { 2 };

private:
    void remember(const KeyValue&, TimePoint now);
    void markIncomplete(TimePoint now) { m_incompleteUntil = now + longestRetention; }

    RecordCache m_cache;
    /// Transactions of unknown fate by the account that they write; dropped once a newer account is known.
    std::map<std::string, std::vector<KeyTransaction>> m_unknown;
    /// Until when commits may be missing here that matter.
    TimePoint m_incompleteUntil;
};

} // namespace basilpoint
