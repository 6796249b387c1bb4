#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Ids.h"

#include <limits>
#include <map>
#include <string>

namespace basilpoint {

/// Id that a caller gave to a call of a program.
using CallId = TextId<struct CallTag>;
/// Id of one lifetime of a daemon, from its start to its end.
using DaemonLifetime = TextId<struct DaemonLifetimeTag>;

/// Stored record of a turn that was answered completely.
struct TurnRecord {
    CallId turn;
    /// Turn that it continues; empty at the start of a chain.
    CallId previous;
    std::string input;
    std::string output;
    /// Target that ran the turn and may still have its prompt cached.
    TargetId target {};

    bool operator==(const TurnRecord&) const = default;
};

/// Tokens of a budget that one daemon may hand out without asking again.
struct DaemonHold {
    TokenCount tokens = 0;
    /// Step of the daemon's last change in the account; tells whether a write whose response was lost took effect.
    std::uint64_t step = 0;

    bool operator==(const DaemonHold&) const = default;
};

/// Budget of one program across all daemons.
struct ProgramAccount {
    /// Value of \ref budget for a program without one.
    static constexpr TokenCount unlimited = std::numeric_limits<TokenCount>::max();

    TokenCount budget = unlimited;
    /// Tokens that were handed to callers.
    TokenCount spent = 0;
    std::map<DaemonLifetime, DaemonHold> holds;
    /// Tokens that no daemon may hold, since the keepers may grant them while the store is unreachable. Tokens that were used
    /// under grants are taken from it when they are charged.
    TokenCount grantReserve = 0;
    /// When the program's records expire.
    WallTimePoint keepUntil;
    /// Data centre of the daemon that created the account. Its keeper has the current account as long as all daemons
    /// commit the program's changes through it.
    DataCentreId commitDataCentre {};

    /// Tokens held by all daemons.
    TokenCount held() const;

    /// Tokens that are neither spent, held nor reserved for grants; \ref unlimited without a budget.
    TokenCount remaining() const;

    bool operator==(const ProgramAccount&) const = default;
};

std::string encodeTurn(const TurnRecord&);
/// \throws DamagedRecordError
TurnRecord decodeTurn(const std::string& bytes);
std::string encodeAccount(const ProgramAccount&);
/// \throws DamagedRecordError
ProgramAccount decodeAccount(const std::string& bytes);

} // namespace basilpoint
