#include "basilpoint/Program/Errors.h"

#include <cassert>

namespace basilpoint {

static constexpr Milliseconds busyRetryDelay { 100 };
static constexpr Milliseconds behindRetryDelay { 500 };

static std::string toText(CloseReason reason)
{
    switch (reason) {
    case CloseReason::Caller:
        return "caller";
    case CloseReason::Deadline:
        return "deadline";
    case CloseReason::TurnLimit:
        return "turn-limit";
    case CloseReason::RepeatedCalls:
        return "repeated-calls";
    case CloseReason::HistoryUnavailable:
        return "history-unavailable";
    }
    assert(false && "unhandled enumerator");
    return {};
}

ProgramNotFoundError::ProgramNotFoundError(const ProgramId& program)
    : Error({ "program-not-found", 404, Executed::No }, { { "program", program.text() } })
{
}

ProgramBusyError::ProgramBusyError(const ProgramId& program)
    : Error({ "program-busy", 409, Executed::No }, { { "program", program.text() } })
{
    setRetryAfter(busyRetryDelay);
}

BudgetExceededError::BudgetExceededError(const ProgramId& program, TokenCount wanted, TokenCount left)
    : Error({ "budget-exceeded", 402, Executed::No }, { { "program", program.text() }, { "wanted", std::to_string(wanted) }, { "left", std::to_string(left) } })
{
}

ConflictError::ConflictError(const ProgramId& program, const RequestKey& key)
    : Error({ "conflict", 409, Executed::No }, { { "program", program.text() }, { "key", key.text() } })
{
}

HistoryConflictError::HistoryConflictError(const ProgramId& program, std::uint64_t turns, const Digest& chain)
    : Error({ "history-conflict", 409, Executed::No }, { { "program", program.text() }, { "turns", std::to_string(turns) }, { "chain", chain.text() } })
{
}

HistoryBehindError::HistoryBehindError(const ProgramId& program, std::uint64_t turns, std::uint64_t turnsSeen)
    : Error({ "history-behind", 503, Executed::No }, { { "program", program.text() }, { "turns", std::to_string(turns) }, { "turnsSeen", std::to_string(turnsSeen) } })
{
    setRetryAfter(behindRetryDelay);
}

OutcomeUnknownError::OutcomeUnknownError(const ProgramId& program, const RequestKey& key)
    : Error({ "outcome-unknown", 502, Executed::Unknown }, { { "program", program.text() }, { "key", key.text() } })
{
}

ProgramEndedError::ProgramEndedError(const ProgramId& program, CloseReason reason)
    : Error({ "program-ended", 410, Executed::No }, { { "program", program.text() }, { "reason", toText(reason) } })
    , m_reason(reason)
{
}

RecordMismatchError::RecordMismatchError(const ProgramId& program, const char* rule)
    : Error({ "record-mismatch", 500, Executed::Unknown }, { { "program", program.text() }, { "rule", rule } })
{
}

} // namespace basilpoint
