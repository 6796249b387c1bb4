#pragma once

#include "basilpoint/Turns/AccountChange.h"

#include <map>
#include <set>

namespace basilpoint {

/// Names a journal entry.
struct EntryName {
    DaemonLifetime daemon;
    std::uint64_t step = 0;

    auto operator<=>(const EntryName&) const = default;
};

/// One operation that a journal makes last.
struct JournalOperation {
    enum class Kind {
        Append,
        /// The entry is in the store, or nobody needs it any more.
        Drop,
        /// The journal has all that it must have; before, it answers nothing.
        Synchronized,
    };

    Kind kind = Kind::Synchronized;
    std::string entry {};
    EntryName name {};

    bool operator==(const JournalOperation&) const = default;
};

std::string encodeOperation(const JournalOperation&);
/// \throws DamagedRecordError
JournalOperation decodeOperation(const std::string& bytes);

/// Whether the entry is of a grant, and not a change of the account.
bool isGrant(const JournalEntry&);

/// Tokens that \p grants let daemons hand out: of those that have ended what was used, of the others all.
/// An entry may stand in the list more than once.
TokenCount grantedTokens(const std::vector<JournalEntry>& grants);

/// As grantedTokens(), but without what is in the account already.
TokenCount outstandingTokens(const std::vector<JournalEntry>& grants);

/// Turns that are kept beside the disks until the store has them.
///
/// A turn is acknowledged once it lies on one more disk than may be lost. A journal whose disk was lost
/// counts as lost until it has read what the others have.
class TurnJournal {
public:
    /// Replays an operation from the disk, or carries one out that is about to be written.
    void apply(const JournalOperation&);

    bool has(const EntryName& name) const { return m_entries.contains(name); }
    bool isSynchronized() const { return m_isSynchronized; }

    /// Entries of the program that \p turn belongs to; empty if the journal does not know the turn.
    std::vector<JournalEntry> findTurn(const CallId& turn) const;

    /// Grants of the program and their ends.
    std::vector<JournalEntry> grantsOf(const ProgramId&) const;

    /// Grants that neither have ended nor are stored; of daemons that died, if they are old.
    std::vector<JournalEntry> openGrants() const;

    /// Programs with granted tokens that may be missing in their accounts.
    const std::set<ProgramId>& outstandingPrograms();

    /// Grants whose program's records need not be kept any more.
    std::vector<EntryName> expiredGrants(WallTimePoint now) const;

    std::vector<JournalEntry> all() const;
    /// The same, where they lie.
    const std::map<EntryName, JournalEntry>& entries() const { return m_entries; }
    std::size_t size() const { return m_entries.size(); }

    /// Operations that rebuild the journal.
    std::vector<JournalOperation> snapshot() const;

private:
    void append(const JournalEntry&);
    void drop(const EntryName&);
    std::vector<JournalEntry> entriesOf(const ProgramId&) const;

    std::map<EntryName, JournalEntry> m_entries;
    std::map<CallId, std::set<EntryName>> m_byTurn;
    std::map<ProgramId, std::set<EntryName>> m_byProgram;
    /// As of the last question, but for the programs that changed since.
    std::set<ProgramId> m_outstanding;
    std::set<ProgramId> m_changed;
    bool m_isSynchronized = false;
};

} // namespace basilpoint
