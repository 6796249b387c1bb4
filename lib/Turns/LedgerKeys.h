#pragma once

#include "basilpoint/Turns/TurnRecord.h"

#include <string>

namespace basilpoint::ledgerkeys {

// Parts of the keys under which turns are stored; TurnLedger has the keys that others need.

/// An id as a part of a key.
std::string keyPart(const std::string& id);
/// Prefix of the turns that are stored as one value.
std::string turnPrefix(const ProgramId&);
/// Prefix of the heads of split turns: another one than of whole turns, which earlier releases read.
std::string splitTurnPrefix(const ProgramId&);
/// Prefix of the pieces of split turns.
std::string piecePrefix(const ProgramId&);

} // namespace basilpoint::ledgerkeys
