#pragma once

#include "basilpoint/Net/TransactionalStore.h"

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace basilpoint {

/// Limits of grouping.
struct CommitGroupSettings {
    /// Conditions, puts and deletes in one call, as the store allows.
    std::size_t maxEntries = 32;
    std::size_t maxBytes = 512 * 1024;
    /// Least time between two calls that are not full; each call is paid, each wait delays the end of a turn.
    Milliseconds interval { 50 };
    /// Calls on their way at once: those of one interval after the other at a store that takes 0.8 s to answer.
    std::size_t maxCalls = 16;
};

/// Merges the transactions of several daemons into few calls to the store.
///
/// Answers to a steady load of small writes: at the interval's pace a call carries all that came
/// meanwhile, and a full call goes out at once. A merged call happens wholly or not at all; where a
/// condition does not hold, just the transactions that stated it are refused, and the others go again.
/// Answers as well to many daemons that write one key: one write of a key is on its way at a time, and those that
/// were overtaken are refused without a call.
class CommitGroup {
public:
    using Ticket = std::uint64_t;

    /// One call to be made.
    struct Call {
        std::uint64_t number = 0;
        KeyTransaction transaction;
    };

    explicit CommitGroup(CommitGroupSettings);

    Ticket submit(KeyTransaction);

    /// The call to be made now, if any.
    std::optional<Call> next(TimePoint now);

    /// When next() may have a call although nothing else happens; empty if nothing waits.
    std::optional<TimePoint> nextAt() const;

    /// What is known of a key from elsewhere; empty if nothing is.
    using RecordLookup = std::function<std::optional<KeyValue>(const std::string& key)>;

    /// Refuses waiting transactions that the store would refuse, since a key of theirs is known at a newer revision
    /// than they state. Those with a key of which nothing is known stay.
    std::vector<std::pair<Ticket, KeyTransactionResult>> refuseOutdated(const RecordLookup&);

    /// The call was answered. \returns what became of the transactions whose fate it settles.
    std::vector<std::pair<Ticket, KeyTransactionResult>> answered(std::uint64_t number, const KeyTransactionResult&);

    /// The call's fate is unknown, and with it that of the transactions returned.
    std::vector<Ticket> markUnknown(std::uint64_t number);

    /// Transactions that wait or are on their way and write \p key.
    std::vector<KeyTransaction> pendingWrites(const std::string& key) const;

    std::size_t waiting() const { return m_waiting.size(); }

private:
    struct Member {
        Ticket ticket = 0;
        KeyTransaction transaction;
        std::size_t bytes = 0;
    };

    /// Waiting transactions that make up the next call.
    struct Selection {
        std::vector<std::size_t> positions;
        bool isFull = false;
    };

    std::vector<Member> take(std::uint64_t number);
    Selection select() const;

    CommitGroupSettings m_settings;
    std::deque<Member> m_waiting;
    /// Keys of calls on their way.
    std::set<std::string> m_keysInFlight;
    std::map<std::uint64_t, std::vector<Member>> m_calls;
    TimePoint m_lastCallAt = TimePoint::min();
    std::uint64_t m_nextNumber = 1;
    Ticket m_nextTicket = 1;
};

} // namespace basilpoint
