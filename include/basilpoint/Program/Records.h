#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Error.h"
#include "basilpoint/Support/Hash.h"
#include "basilpoint/Support/Ids.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace basilpoint {

/// Limits against programs that loop, and retention times of closed programs.
struct ProgramLimits {
    std::uint64_t maxTurns = 460;
    /// Number of identical calls allowed in a row; the next one ends the program.
    unsigned maxRepeatedCalls = 8;
    /// How long a closed program keeps the answer of its last call for repeats.
    std::chrono::seconds answerRetention { 600 };
    /// How long a closed program keeps its keys and the outcomes of its non-idempotent calls.
    std::chrono::seconds keyRetention { 86'400 };

    bool operator==(const ProgramLimits&) const = default;
};

/// A program was opened with a budget. First record of every program.
struct ProgramOpened {
    ProgramId program;
    EnvironmentId environment;
    OperatorId owner;
    /// Idempotency key of the caller's opening request; empty if none was given.
    RequestKey openKey;
    /// Program from whose budget \ref budget is reserved; empty for a root program.
    ProgramId parent;
    TokenCount budget = 0;
    WallTimePoint openedAt;
    std::optional<WallTimePoint> deadline;
    /// Limits in force when the program was opened; if empty, the table sets its own.
    std::optional<ProgramLimits> limits = std::nullopt;
    /// Digest of the opening request, which a repeat with the same openKey must match; if zero, the table computes it.
    Digest request = {};

    bool operator==(const ProgramOpened&) const = default;
};

/// A model call is about to be dispatched, and its worst-case cost is reserved.
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

/// A model call ended, and its answer is part of the history.
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

/// A non-idempotent call may be dispatched once, after this record is journalled.
struct IntentRecorded {
    ProgramId program;
    RequestKey key;
    std::string tool;
    Digest request;

    bool operator==(const IntentRecorded&) const = default;
};

/// Outcome of a non-idempotent call.
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

/// A program runs no further calls, and its reservations are released.
struct ProgramClosed {
    ProgramId program;
    CloseReason reason = CloseReason::Caller;
    /// Start of the retention times.
    WallTimePoint closedAt = {};

    bool operator==(const ProgramClosed&) const = default;
};

/// Which data of a closed program is removed.
enum class ForgetScope {
    /// Answers of model calls. Keys and outcomes of non-idempotent calls stay.
    Answers,
    /// All data of the program.
    Everything,
};

/// A retention time of a closed program is over, and the data in \p scope is removed.
struct ProgramForgotten {
    ProgramId program;
    ForgetScope scope = ForgetScope::Answers;

    bool operator==(const ProgramForgotten&) const = default;
};

/// Finished model call, by which repeats are recognized. The text of the answer is in the history.
struct FinishedTurn {
    /// Hash of the caller's key; zero if there was none.
    std::uint64_t key = 0;
    /// Hash of the messages that the call added.
    std::uint64_t request = 0;
    /// Position of the answer in ProgramState::history, in bytes.
    std::uint64_t answerOffset = 0;
    std::uint64_t answerSize = 0;

    bool operator==(const FinishedTurn&) const = default;
};

/// A non-idempotent call that may have been dispatched.
struct ToolCall {
    std::string tool;
    Digest request;
    /// Empty while the call is in progress.
    std::optional<Executed> executed;
    int status = 0;
    std::string body;

    bool operator==(const ToolCall&) const = default;
};

/// Number of consecutive calls with the same request.
struct RepeatCounter {
    /// Hash of the request.
    std::uint64_t request = 0;
    std::uint64_t count = 0;

    bool operator==(const RepeatCounter&) const = default;
};

/// State of one program.
struct ProgramState {
    ProgramOpened opened;
    TokenCount spent = 0;
    /// Worst-case cost of the open model call.
    TokenCount reserved = 0;
    /// Budgets of open sub-agents.
    TokenCount reservedForChildren = 0;
    std::uint64_t openChildren = 0;
    std::uint64_t turns = 0;
    /// Tokens of the whole context after the last model call.
    TokenCount contextTokens = 0;
    /// Messages as canonical JSON, joined by commas; for a closed program, only its last answer.
    std::string history;
    /// Digest chained over all messages in order.
    Digest chain;
    Digest chainBeforeLastTurn;
    RepeatCounter repeatedTurns;
    RepeatCounter repeatedTools;
    std::optional<TurnStarted> openTurn;
    /// All calls that had a key, and the last call.
    std::vector<FinishedTurn> finishedTurns;
    std::map<RequestKey, ToolCall> tools;
    std::optional<CloseReason> closed;
    WallTimePoint closedAt;

    /// Tokens that are neither spent nor reserved.
    TokenCount left() const { return opened.budget - spent - reserved - reservedForChildren; }
    /// Whether a non-idempotent call is in progress.
    bool hasOpenTool() const;

    bool operator==(const ProgramState&) const = default;
};

/// State of a program that replaces its earlier records after a compaction.
struct ProgramSnapshot {
    ProgramId program;
    ProgramState state;

    bool operator==(const ProgramSnapshot&) const = default;
};

/// Record about a program in a shard's journal.
using ProgramRecord = std::variant<ProgramOpened, TurnStarted, TurnFinished, TurnFailed, IntentRecorded, OutcomeRecorded, ProgramClosed, ProgramForgotten, ProgramSnapshot>;

/// Program that \p record belongs to.
const ProgramId& programOf(const ProgramRecord& record);

/// CBOR encoding of \p record, as stored in the journal.
std::string encodeRecord(const ProgramRecord& record);

/// Inverse of encodeRecord().
/// \throws InvalidInputError if \p bytes is not a valid record of a known type.
ProgramRecord decodeRecord(std::string_view bytes);

} // namespace basilpoint
