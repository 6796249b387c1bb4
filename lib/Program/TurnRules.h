#pragma once

#include "MessageList.h"

#include "basilpoint/Program/ProgramTable.h"

namespace basilpoint {

/// What a model call's message list means for the program's history.
struct TurnMessages {
    /// Canonical text of the messages that the call adds.
    std::string added;
    /// Whether the call is the last one again.
    bool repeatsLastTurn = false;
};

/// Tells what \p request adds to the history.
/// \throws InvalidInputError, HistoryConflictError, HistoryBehindError.
TurnMessages matchHistory(const ProgramState&, const TurnRequest& request);

/// Call that ended under the key of \p request, if any.
/// \throws ConflictError if that call had other messages.
const FinishedTurn* findFinishedTurn(const ProgramState&, const TurnRequest& request);

/// Text of the answer of \p turn.
std::string answerOf(const ProgramState&, const FinishedTurn& turn);

/// Most tokens that the call can cost.
TokenCount worstCase(const ProgramState&, const std::string& added, TokenCount maxOutput);

/// Hash by which a key or a request is recognized again; never zero.
std::uint64_t recognitionHash(std::string_view);

/// Whether a call of \p request would be one too many in a row.
bool isLoop(const RepeatCounter&, std::uint64_t request, const ProgramLimits&);

/// Counts a call of \p request.
void count(RepeatCounter&, std::uint64_t request);

} // namespace basilpoint
