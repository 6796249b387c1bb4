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

/// Guards against programs that loop, and how long a closed program is remembered.
struct ProgramLimits {
    std::uint64_t maxTurns = 460;
    /// Identical calls in a row before the program is ended.
    unsigned maxRepeatedCalls = 8;
    /// How long a closed program repeats the answers of its last call.
    std::chrono::seconds answerRetention { 600 };
    /// How long a closed program keeps its keys and the outcomes of its non-idempotent calls.
    std::chrono::seconds keyRetention { 86'400 };

    bool operator==(const ProgramLimits&) const = default;
};

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
    /// Limits in force when the program was opened; the table fills in its own if there are none.
    std::optional<ProgramLimits> limits = std::nullopt;
    /// Digest of the opening request, which a repeat of openKey must match; the table computes it if it is zero.
    Digest request = {};

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

/// A program runs no further call; what it held is free.
struct ProgramClosed {
    ProgramId program;
    CloseReason reason = CloseReason::Caller;
    /// Start of the retention times.
    WallTimePoint closedAt = {};

    bool operator==(const ProgramClosed&) const = default;
};

/// What a closed program no longer remembers.
enum class ForgetScope {
    /// Answers of model calls. Keys and outcomes of non-idempotent calls stay.
    Answers,
    /// The program as a whole.
    Everything,
};

/// A retention time of a closed program is over.
struct ProgramForgotten {
    ProgramId program;
    ForgetScope scope = ForgetScope::Answers;

    bool operator==(const ProgramForgotten&) const = default;
};

/// A model call that ended, as its repeats are recognized. The answer's text is in the history.
struct FinishedTurn {
    /// Hash of the caller's key; zero if there was none.
    std::uint64_t key = 0;
    /// Hash of the messages that the call added.
    std::uint64_t request = 0;
    /// Place of the answer in the history.
    std::uint64_t answerOffset = 0;
    std::uint64_t answerSize = 0;

    bool operator==(const FinishedTurn&) const = default;
};

/// A non-idempotent call that may have been dispatched.
struct ToolCall {
    std::string tool;
    Digest request;
    /// Empty while the call is under way.
    std::optional<Executed> executed;
    int status = 0;
    std::string body;

    bool operator==(const ToolCall&) const = default;
};

/// How often the last call has come in a row.
struct RepeatCounter {
    std::uint64_t request = 0;
    std::uint64_t count = 0;

    bool operator==(const RepeatCounter&) const = default;
};

/// Everything that a shard's owner knows of one program.
struct ProgramState {
    ProgramOpened opened;
    TokenCount spent = 0;
    /// Worst case of the open model call.
    TokenCount reserved = 0;
    /// Budgets of open sub-agents.
    TokenCount carvedOut = 0;
    std::uint64_t openChildren = 0;
    std::uint64_t turns = 0;
    /// Tokens of the whole context after the last model call.
    TokenCount contextTokens = 0;
    /// Messages as canonical JSON, joined by commas. Of a closed program, its last answer alone.
    std::string history;
    /// Digest over all messages, one after the other.
    Digest chain;
    Digest chainBeforeLastTurn;
    RepeatCounter repeatedTurns;
    RepeatCounter repeatedTools;
    std::optional<TurnStarted> openTurn;
    /// All calls that came with a key, and the last call.
    std::vector<FinishedTurn> finishedTurns;
    std::map<RequestKey, ToolCall> tools;
    std::optional<CloseReason> closed;
    WallTimePoint closedAt;

    /// Tokens that are neither spent nor promised.
    TokenCount left() const { return opened.budget - spent - reserved - carvedOut; }
    /// Whether a non-idempotent call is under way.
    bool hasOpenTool() const;

    bool operator==(const ProgramState&) const = default;
};

/// Stands for all earlier records of a program, after compaction.
struct ProgramRestored {
    ProgramId program;
    ProgramState state;

    bool operator==(const ProgramRestored&) const = default;
};

/// Everything that a shard's journal holds about its programs.
using ProgramRecord = std::variant<ProgramOpened, TurnStarted, TurnFinished, TurnFailed, IntentRecorded, OutcomeRecorded, ProgramClosed, ProgramForgotten, ProgramRestored>;

/// Program that \p record belongs to.
const ProgramId& programOf(const ProgramRecord& record);

/// CBOR form of \p record, as the journal holds it.
std::string encodeRecord(const ProgramRecord& record);

/// Inverse of encodeRecord().
/// \throws InvalidInputError if \p bytes are not a record of a known type.
ProgramRecord decodeRecord(std::string_view bytes);

} // namespace basilpoint
