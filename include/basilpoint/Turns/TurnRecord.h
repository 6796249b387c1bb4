#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Ids.h"

#include <limits>
#include <map>
#include <string>

namespace basilpoint {

/// One call of a program, by the id that its caller gave it.
using CallId = TextId<struct CallTag>;
/// One lifetime of a daemon.
using DaemonLifetime = TextId<struct DaemonLifetimeTag>;

/// A turn that was answered whole, as it is kept.
struct TurnRecord {
    CallId turn;
    /// Turn that it continues; empty at the start of a chain.
    CallId previous;
    std::string input;
    std::string output;
    /// Target that ran it and may still hold its prompt in its cache.
    TargetId target {};

    bool operator==(const TurnRecord&) const = default;
};

/// Tokens that one daemon may hand out without asking again.
struct DaemonHold {
    TokenCount tokens = 0;
    /// Last change of the account by that daemon; tells whether a write whose answer was lost took effect.
    std::uint64_t step = 0;

    bool operator==(const DaemonHold&) const = default;
};

/// Budget of one program over all daemons.
struct ProgramAccount {
    /// Budget of a program that has none.
    static constexpr TokenCount unlimited = std::numeric_limits<TokenCount>::max();

    TokenCount budget = unlimited;
    /// Tokens that were handed to callers.
    TokenCount spent = 0;
    std::map<DaemonLifetime, DaemonHold> holds;
    /// After this time nothing of the program needs to be kept.
    WallTimePoint keepUntil;
    /// Data centre of the daemon that wrote the account first; where all commit by the keeper there, that keeper knows
    /// the account as it is.
    DataCentreId commitDataCentre {};

    /// Tokens that daemons hold.
    TokenCount held() const;

    /// Tokens that are neither spent nor held.
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
