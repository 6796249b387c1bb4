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

/// A key came back with another request.
class ConflictError final : public Error {
public:
    ConflictError(const ProgramId&, const RequestKey&);
};

/// The caller's message list or chain digest is not the program's history.
class HistoryConflictError final : public Error {
public:
    HistoryConflictError(const ProgramId&, std::uint64_t turns, const Digest& chain);
};

/// The caller has seen more turns than this owner knows of; another owner or a holder may have them.
class HistoryBehindError final : public Error {
public:
    HistoryBehindError(const ProgramId&, std::uint64_t turns, std::uint64_t turnsSeen);
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

    CloseReason reason() const { return m_reason; }

private:
    CloseReason m_reason;
};

/// A record does not follow from the records before it; the journal must not be served from.
class RecordMismatchError final : public Error {
public:
    RecordMismatchError(const ProgramId&, const char* rule);
};

} // namespace basilpoint
