#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Error.h"
#include "basilpoint/Support/Hash.h"
#include "basilpoint/Support/Ids.h"

#include <optional>
#include <string>
#include <variant>

namespace basilpoint {

/// A program exists and has a budget. First record of every program.
struct ProgramOpened {
    ProgramId program;
    EnvironmentId environment;
    OperatorId owner;
    /// Idempotency key of the caller's opening request; empty if none was given.
    RequestKey openKey;
    /// Program whose budget \ref budget was carved out of; empty for a root program.
    ProgramId parent;
    TokenCount budget = 0;
    WallTimePoint openedAt;
    std::optional<WallTimePoint> deadline;

    bool operator==(const ProgramOpened&) const = default;
};

/// A model call is about to be dispatched; its worst case is reserved.
struct TurnStarted {
    ProgramId program;
    TurnNumber turn;
    RequestKey key;
    /// Digest of the messages that the call adds to the history.
    Digest request;
    /// JSON array of the messages that the call adds to the history.
    std::string messages;
    TokenCount reserved = 0;

    bool operator==(const TurnStarted&) const = default;
};

/// A model call ended and its answer belongs to the history.
struct TurnFinished {
    ProgramId program;
    TurnNumber turn;
    /// JSON object: the assistant's message.
    std::string answer;
    TokenCount used = 0;

    bool operator==(const TurnFinished&) const = default;
};

/// A model call ended without an answer; its messages are not part of the history.
struct TurnFailed {
    ProgramId program;
    TurnNumber turn;
    TokenCount charged = 0;

    bool operator==(const TurnFailed&) const = default;
};

/// A non-idempotent call may be dispatched from here on, once.
struct IntentRecorded {
    ProgramId program;
    RequestKey key;
    std::string tool;
    Digest request;

    bool operator==(const IntentRecorded&) const = default;
};

/// What became of a non-idempotent call.
struct OutcomeRecorded {
    ProgramId program;
    RequestKey key;
    Executed executed = Executed::Unknown;
    /// HTTP status of the target's answer; 0 if there was none.
    int status = 0;
    std::string body;

    bool operator==(const OutcomeRecorded&) const = default;
};

/// Why a program ended.
enum class CloseReason {
    Caller,
    Deadline,
    TurnLimit,
    RepeatedCalls,
    HistoryUnavailable,
};

/// Last record of a program; frees what it held.
struct ProgramClosed {
    ProgramId program;
    CloseReason reason = CloseReason::Caller;

    bool operator==(const ProgramClosed&) const = default;
};

/// Everything that a shard's journal holds about its programs.
using ProgramRecord = std::variant<ProgramOpened, TurnStarted, TurnFinished, TurnFailed, IntentRecorded, OutcomeRecorded, ProgramClosed>;

/// Program that \p record belongs to.
const ProgramId& programOf(const ProgramRecord& record);

/// CBOR form of \p record, as the journal holds it.
std::string encodeRecord(const ProgramRecord& record);

/// Inverse of encodeRecord().
/// \throws InvalidInputError if \p bytes are not a record of a known type.
ProgramRecord decodeRecord(std::string_view bytes);

} // namespace basilpoint
