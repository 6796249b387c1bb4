#pragma once

#include "basilpoint/Shard/Types.h"

#include <optional>

namespace basilpoint::test {

/// Entry of the application above a shard: a request of one term.
struct LedgerEntry {
    OwnerTag term;
    /// Position among the entries of its term, from 1.
    std::uint64_t sequence = 0;
    std::string key;

    bool operator==(const LedgerEntry&) const = default;
};

std::string encodeEntry(const LedgerEntry&);
/// One entry that stands for many, as a compaction writes.
std::string encodeSnapshot(const std::vector<LedgerEntry>&);
std::vector<LedgerEntry> decodeLog(const std::vector<std::string>& entries);

/// An owner began to serve with \p log.
struct Acting {
    OwnerTag term;
    Epoch lostThrough;
    std::vector<LedgerEntry> log;
};

/// An owner was told that \p entry lasts.
struct Lasting {
    LedgerEntry entry;
};

/// The target received the request of \p key.
struct Dispatched {
    std::string key;
};

using HistoryEvent = std::variant<Acting, Lasting, Dispatched>;
using History = std::vector<HistoryEvent>;

/// First breach of the invariants in \p history; empty if there is none.
std::optional<std::string> findViolation(const History& history);

} // namespace basilpoint::test
