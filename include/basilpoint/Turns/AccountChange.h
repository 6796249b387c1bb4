#pragma once

#include "basilpoint/Turns/TurnRecord.h"

#include <optional>
#include <vector>

namespace basilpoint {

/// A change that a daemon makes to a program's account.
struct AccountChange {
    enum class Kind {
        /// Adds \ref maxTokens to the daemon's hold.
        Reserve,
        /// Charges \ref used tokens, and stores the turn if it was answered completely.
        Settle,
        /// Allows \ref maxTokens to be handed out beyond all holds while the account cannot be read.
        Grant,
        /// Ends the grant with step \ref grant; \ref used of its tokens were handed out.
        GrantEnd,
        /// The account includes the tokens used under the grant with step \ref grant.
        GrantStored,
        /// No further grants are taken from the account's reserve, since a daemon needs it.
        ReserveClosed,
    };

    Kind kind = Kind::Reserve;
    /// Increases with each change made in the daemon's lifetime.
    std::uint64_t step = 0;
    /// Tokens that a reservation or grant adds, or the hold that a settlement tops up to.
    TokenCount maxTokens = 0;
    TokenCount used = 0;
    /// Granted tokens that the account may not include yet; a reservation must leave them in the budget.
    TokenCount outstanding = 0;
    TokenCount budget = ProgramAccount::unlimited;
    /// When the program's records expire.
    WallTimePoint keepUntil;
    std::optional<TurnRecord> record {};
    /// Step of the grant that the change belongs to; 0 for none.
    std::uint64_t grant = 0;
    /// New \ref ProgramAccount::grantReserve, if a reservation changes it, or if a settlement creates the account.
    std::optional<TokenCount> grantReserve {};

    bool operator==(const AccountChange&) const = default;
};

/// Applies a change made by \p daemon. \returns false, leaving the account unchanged, if a reservation exceeds the
/// budget.
bool applyChange(ProgramAccount&, const DaemonLifetime& daemon, const AccountChange&);

/// Changes to one program that a daemon has not stored yet, in order; the last one settles a turn or belongs to a
/// grant.
struct JournalEntry {
    ProgramId program;
    DaemonLifetime daemon;
    std::vector<AccountChange> changes;

    /// Step of the last change; identifies the entry together with the daemon.
    std::uint64_t step() const { return changes.empty() ? 0 : changes.back().step; }

    bool operator==(const JournalEntry&) const = default;
};

/// Applies the changes of the entry that \p account does not include yet. \returns the turns to be stored with it.
std::vector<TurnRecord> applyEntry(ProgramAccount& account, const JournalEntry&);

std::string encodeEntry(const JournalEntry&);
/// \throws DamagedRecordError
JournalEntry decodeEntry(const std::string& bytes);

} // namespace basilpoint
