#pragma once

#include "basilpoint/Shard/Types.h"

#include <optional>

namespace basilpoint::test {

/// Log entry of the test application: a request that was appended in one term.
struct LedgerEntry {
    OwnerTag term;
    /// Number among the entries of its term, from 1.
    std::uint64_t sequence = 0;
    std::string key;

    bool operator==(const LedgerEntry&) const = default;
};

std::string encodeEntry(const LedgerEntry&);
/// One log entry that contains several ledger entries, as a compaction writes it.
std::string encodeSnapshot(const std::vector<LedgerEntry>&);
std::vector<LedgerEntry> decodeLog(const std::vector<std::string>& entries);

/// An owner started to serve with \p log.
struct OwnerStarted {
    OwnerTag term;
    Epoch lostThrough;
    std::vector<LedgerEntry> log;
};

/// An owner received a durable acknowledgement of \p entry.
struct EntryAcknowledged {
    LedgerEntry entry;
};

/// The target received the request with \p key.
struct Dispatched {
    std::string key;
};

using HistoryEvent = std::variant<OwnerStarted, EntryAcknowledged, Dispatched>;
using History = std::vector<HistoryEvent>;

/// First violation of an invariant in \p history; empty if there is none.
std::optional<std::string> findViolation(const History& history);

} // namespace basilpoint::test
