#pragma once

#include "basilpoint/Turns/TurnRecord.h"

#include <optional>
#include <vector>

namespace basilpoint {

/// One change of a program's account by one daemon.
struct AccountChange {
    enum class Kind {
        /// Takes a hold for at least \ref most tokens.
        Reserve,
        /// Records tokens that were handed out, and the turn if it was answered whole.
        Settle,
        /// Lets \ref most tokens be handed out beyond all holds, while the account cannot be read.
        Grant,
        /// Ends the grant with step \ref grant, of which \ref used tokens were handed out.
        GrantEnd,
        /// What was used under the grant with step \ref grant is in the account.
        GrantStored,
    };

    Kind kind = Kind::Reserve;
    /// Rises with each change that the daemon's lifetime makes.
    std::uint64_t step = 0;
    /// Most tokens of one turn.
    TokenCount maxTokens = 0;
    TokenCount used = 0;
    /// Tokens of grants that the account may lack; a reservation leaves them untouched.
    TokenCount outstanding = 0;
    TokenCount budget = ProgramAccount::unlimited;
    /// Until when the program's records are kept.
    WallTimePoint keepUntil;
    std::optional<TurnRecord> record {};
    /// Step of the grant that the change belongs to; 0 if there is none.
    std::uint64_t grant = 0;

    bool operator==(const AccountChange&) const = default;
};

/// Applies a change of \p daemon. \returns false, and changes nothing, if the budget does not hold a reservation.
bool applyChange(ProgramAccount&, const DaemonLifetime& daemon, const AccountChange&);

/// What a daemon could not store yet of one program: its changes in order, the last one a settled turn.
struct JournalEntry {
    ProgramId program;
    DaemonLifetime daemon;
    std::vector<AccountChange> changes;

    /// Step of the last change; names the entry together with the daemon.
    std::uint64_t step() const { return changes.empty() ? 0 : changes.back().step; }

    bool operator==(const JournalEntry&) const = default;
};

/// Applies what \p account does not have yet of the entry. \returns the turns to be stored with it.
std::vector<TurnRecord> applyEntry(ProgramAccount& account, const JournalEntry&);

std::string encodeEntry(const JournalEntry&);
/// \throws DamagedRecordError
JournalEntry decodeEntry(const std::string& bytes);

} // namespace basilpoint
