#pragma once

#include "basilpoint/Program/Records.h"

namespace basilpoint {

/// The program is not known to its shard, or it was closed.
class ProgramNotFoundError final : public Error {
public:
    explicit ProgramNotFoundError(const ProgramId&);
};

/// Another call of the program is under way and this one depends on it.
class ProgramBusyError final : public Error {
public:
    explicit ProgramBusyError(const ProgramId&);
};

/// The reservation does not fit what is left of the program's budget.
class BudgetExceededError final : public Error {
public:
    BudgetExceededError(const ProgramId&, TokenCount wanted, TokenCount left);
};

/// A key came back with another request, or a history that is not the program's.
class ConflictError final : public Error {
public:
    ConflictError(const ProgramId&, const RequestKey&);
};

/// A non-idempotent call was dispatched and no answer shows what became of it.
class OutcomeUnknownError final : public Error {
public:
    OutcomeUnknownError(const ProgramId&, const RequestKey&);
};

/// The program was ended by one of its guards: turns, deadline or repeated calls.
class ProgramEndedError final : public Error {
public:
    ProgramEndedError(const ProgramId&, CloseReason);
};

} // namespace basilpoint
