#pragma once

#include "basilpoint/Turns/AccountChange.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace basilpoint {

/// Identifies a journal entry.
struct EntryName {
    DaemonLifetime daemon;
    std::uint64_t step = 0;

    auto operator<=>(const EntryName&) const = default;
};

/// An operation that a journal writes to disk.
struct JournalOperation {
    enum class Kind {
        Append,
        /// Removes an entry that is in the store or is no longer needed.
        Drop,
        /// Marks the journal as complete; until then it answers no queries.
        Synchronized,
        /// Removes all entries and marks the journal as incomplete, since its keeper is no member or joins only now.
        Reset,
        /// Records the latest view of the keepers in \ref entry.
        View,
    };

    Kind kind = Kind::Synchronized;
    std::string entry {};
    EntryName name {};

    bool operator==(const JournalOperation&) const = default;
};

std::string encodeOperation(const JournalOperation&);
/// \throws DamagedRecordError
JournalOperation decodeOperation(const std::string& bytes);

/// Whether the entry belongs to a grant rather than changing the account.
bool isGrant(const JournalEntry&);

/// Total tokens of \p grants: those used, for grants that have ended, and the full amount for others. Duplicate entries
/// count once.
TokenCount grantedTokens(const std::vector<JournalEntry>& grants);

/// Whether no further grants may be taken from the reserve of the program that \p grants belong to.
bool isReserveClosed(const std::vector<JournalEntry>& grants);

/// As grantedTokens(), without grants whose tokens the account includes.
TokenCount outstandingTokens(const std::vector<JournalEntry>& grants);

/// Shared with whoever still reads an entry after it has been dropped.
using SharedEntry = std::shared_ptr<const JournalEntry>;

/// Turns and grants that keepers keep on their disks until the store has them.
///
/// A turn is acknowledged once it is on one more disk than may be lost. A journal whose disk was lost counts as lost
/// until it has read the entries of the other journals.
class TurnJournal {
public:
    /// Applies an operation that was read from the disk or written to it.
    void apply(const JournalOperation&);

    bool has(const EntryName& name) const { return m_entries.contains(name); }
    bool isSynchronized() const { return m_isSynchronized; }
    /// Encoded view of the keepers; empty if none has been recorded.
    const std::string& view() const { return m_view; }

    /// Entries of the program that \p turn belongs to; empty if the journal does not have the turn.
    std::vector<JournalEntry> findTurn(const CallId& turn) const;

    /// All grant entries of the program.
    std::vector<JournalEntry> grantsOf(const ProgramId&) const;

    /// Grants that have neither ended nor been included in the account. Old ones belong to daemons that have terminated.
    std::vector<JournalEntry> openGrants() const;

    /// Programs whose accounts may be missing granted tokens.
    const std::set<ProgramId>& outstandingPrograms();

    /// Entries of grants that are not open.
    std::vector<EntryName> endedGrants() const;

    std::vector<JournalEntry> all() const;
    /// As all(), without copying.
    const std::map<EntryName, SharedEntry>& entries() const { return m_entries; }
    std::size_t size() const { return m_entries.size(); }
    /// Approximate size of the entries on disk.
    std::uint64_t bytes() const { return m_bytes; }

    /// Gives operations one after the other, and nothing after the last.
    using OperationSource = std::function<std::optional<JournalOperation>()>;

    /// Operations that recreate the journal as it is now. Refers to the entries, and may be called on another thread.
    OperationSource snapshot() const;

private:
    void append(JournalEntry);
    void drop(const EntryName&);
    void reset();
    std::vector<JournalEntry> entriesOf(const ProgramId&) const;

    std::map<EntryName, SharedEntry> m_entries;
    std::uint64_t m_bytes = 0;
    std::map<CallId, std::set<EntryName>> m_byTurn;
    std::map<ProgramId, std::set<EntryName>> m_byProgram;
    /// Current as of the last call of outstandingPrograms(), except for \ref m_changed.
    std::set<ProgramId> m_outstanding;
    std::set<ProgramId> m_changed;
    bool m_isSynchronized = false;
    std::string m_view;
};

} // namespace basilpoint
