#pragma once

#include "MessageList.h"

#include "basilpoint/Program/ProgramTable.h"

namespace basilpoint {

/// Result of matching a model call's message list with the program's history.
struct TurnMessages {
    /// Canonical text of the messages that the call adds.
    std::string added;
    /// Whether the call repeats the last one.
    bool repeatsLastTurn = false;
};

/// Finds the messages that \p request adds to the history.
/// \throws InvalidInputError, HistoryConflictError, HistoryBehindError.
TurnMessages matchHistory(const ProgramState&, const TurnRequest& request);

/// Finished call with the key of \p request, if any.
/// \throws ConflictError if that call had other messages, ProgramEndedError if it had and the program is closed.
const FinishedTurn* findFinishedTurn(const ProgramState&, const TurnRequest& request);

/// Text of the answer of \p turn.
std::string answerOf(const ProgramState&, const FinishedTurn& turn);

/// Maximum number of tokens that the call can cost.
TokenCount worstCaseTokens(const ProgramState&, const std::string& added, TokenCount maxOutput);

/// Hash by which repeated keys and requests are recognized; never zero, which stands for none.
std::uint64_t nonZeroHash(std::string_view);

/// Whether the number of consecutive calls of \p request has reached the limit.
bool reachesRepeatLimit(const RepeatCounter&, std::uint64_t request, const ProgramLimits&);

/// Counts a call of \p request.
void countCall(RepeatCounter&, std::uint64_t request);

} // namespace basilpoint
