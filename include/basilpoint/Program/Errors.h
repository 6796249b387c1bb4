#pragma once

#include "basilpoint/Program/Records.h"

namespace basilpoint {

/// The shard has no such program, or its retention time is over.
class ProgramNotFoundError final : public Error {
public:
    explicit ProgramNotFoundError(const ProgramId&);
};

/// A call or sub-agent of the program is still in progress, and the request must wait for it.
class ProgramBusyError final : public Error {
public:
    explicit ProgramBusyError(const ProgramId&);
};

/// The reservation exceeds what is left of the program's budget.
class BudgetExceededError final : public Error {
public:
    BudgetExceededError(const ProgramId&, TokenCount wanted, TokenCount left);
};

/// A key was used again for a different request, or the call to be ended is not the open one.
class ConflictError final : public Error {
public:
    ConflictError(const ProgramId&, const RequestKey&);
};

/// The caller's message list or chain digest does not match the program's history.
class HistoryConflictError final : public Error {
public:
    HistoryConflictError(const ProgramId&, std::uint64_t turns, const Digest& chain);
};

/// The caller has seen more turns than this owner has; another owner or a holder may have them.
class HistoryBehindError final : public Error {
public:
    HistoryBehindError(const ProgramId&, std::uint64_t turns, std::uint64_t turnsSeen);
};

/// A non-idempotent call may have been dispatched, and no answer shows whether it was executed.
class OutcomeUnknownError final : public Error {
public:
    OutcomeUnknownError(const ProgramId&, const RequestKey&);
};

/// The program has ended: its caller closed it, or a limit on its turns, time or repeated calls was reached.
class ProgramEndedError final : public Error {
public:
    ProgramEndedError(const ProgramId&, CloseReason);

    CloseReason reason() const { return m_reason; }

private:
    CloseReason m_reason;
};

/// A record contradicts the records before it; the journal must not be used to serve requests.
class RecordMismatchError final : public Error {
public:
    RecordMismatchError(const ProgramId&, const char* rule);
};

} // namespace basilpoint
