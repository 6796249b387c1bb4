#pragma once

#include "basilpoint/Net/TransactionalStore.h"

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace basilpoint {

/// Limits of a commit group.
struct CommitGroupSettings {
    /// Conditions, puts and deletes in one call; the store's limit.
    std::size_t maxEntries = 32;
    std::size_t maxBytes = 512 * 1024;
    /// Minimum time between two calls that are not full. Shorter intervals cost more calls, longer ones delay the
    /// ends of turns.
    Milliseconds interval { 50 };
    /// Calls in flight; sufficient for one call per interval at a store that takes 0.8 s to answer.
    std::size_t maxCalls = 16;
};

/// Merges the transactions of several daemons into few calls to the store.
///
/// Under a steady load of small writes, one call per interval carries all transactions that have arrived; a full call
/// is sent at once. A merged call is atomic: if a condition fails, only the transactions that have it are refused,
/// and the others are sent again. When many daemons write the same key, only one write of it is in flight at a time,
/// and transactions based on an older revision are refused without a call.
class CommitGroup {
public:
    using Ticket = std::uint64_t;

    /// A call to be sent to the store.
    struct Call {
        std::uint64_t number = 0;
        KeyTransaction transaction;
    };

    explicit CommitGroup(CommitGroupSettings);

    Ticket submit(KeyTransaction);

    /// The call to be sent now, if any.
    std::optional<Call> next(TimePoint now);

    /// Earliest time at which next() returns a call if nothing else changes; empty if no call can be sent.
    std::optional<TimePoint> nextAt() const;

    /// Returns the newest known record of a key; empty if none is known.
    using RecordLookup = std::function<std::optional<KeyValue>(const std::string& key)>;

    /// Refuses waiting transactions that the store would refuse, because one of their conditions names an older
    /// revision than the known one. Transactions with a condition on an unknown key are kept.
    std::vector<std::pair<Ticket, KeyTransactionResult>> refuseOutdated(const RecordLookup&);

    /// Takes the store's answer to a call. \returns the results of the transactions that it decides.
    std::vector<std::pair<Ticket, KeyTransactionResult>> answered(std::uint64_t number, const KeyTransactionResult&);

    /// Ends a call whose outcome is unknown. \returns its transactions, whose outcomes are unknown as well.
    std::vector<Ticket> markUnknown(std::uint64_t number);

    /// Ends a call that the store rejects for what it contains. \returns the transaction at fault. If the call has several,
    /// each is sent again in a call of its own, and none is returned.
    std::optional<Ticket> rejected(std::uint64_t number);

    /// Waiting and in-flight transactions that write \p key.
    std::vector<KeyTransaction> pendingWrites(const std::string& key) const;

    std::size_t waiting() const { return m_waiting.size(); }

private:
    struct Member {
        Ticket ticket = 0;
        KeyTransaction transaction;
        std::size_t bytes = 0;
        /// Was part of a rejected call, so that it must not share another one.
        bool isAlone = false;
    };

    /// Waiting transactions that form the next call.
    struct Selection {
        std::vector<std::size_t> positions;
        bool isFull = false;
    };

    std::vector<Member> take(std::uint64_t number);
    Selection select() const;

    CommitGroupSettings m_settings;
    std::deque<Member> m_waiting;
    /// Keys of the calls in flight.
    std::set<std::string> m_keysInFlight;
    std::map<std::uint64_t, std::vector<Member>> m_calls;
    TimePoint m_lastCallAt = TimePoint::min();
    std::uint64_t m_nextNumber = 1;
    Ticket m_nextTicket = 1;
};

} // namespace basilpoint
