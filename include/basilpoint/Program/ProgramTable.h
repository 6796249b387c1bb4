#pragma once

#include "basilpoint/Program/Records.h"

#include <cstddef>
#include <map>
#include <unordered_map>
#include <variant>
#include <vector>

namespace basilpoint {

/// Guards against programs that loop.
struct ProgramLimits {
    std::uint64_t maxTurns = 460;
    /// Identical calls in a row before the program is ended.
    unsigned maxRepeatedCalls = 8;

    bool operator==(const ProgramLimits&) const = default;
};

/// A model call as its caller asks for it.
struct TurnRequest {
    ProgramId program;
    /// Empty if the caller gave none; a repeat is then found by its messages alone.
    RequestKey key;
    /// JSON array: either the whole history or only what is new.
    std::string messages;
    /// Most tokens that the engine may generate.
    TokenCount maxOutput = 0;
};

/// A non-idempotent tool call as its caller asks for it.
struct ToolRequest {
    ProgramId program;
    RequestKey key;
    std::string tool;
    std::string body;
};

/// Answer that is in the journal already and is given again as it is.
struct RecordedAnswer {
    int status = 200;
    std::string body;

    bool operator==(const RecordedAnswer&) const = default;
};

/// Either a record to be journalled before the call may go out, or the answer of an earlier run.
using CallDecision = std::variant<ProgramRecord, RecordedAnswer>;

/// What a program's owner shows to operators.
struct ProgramSummary {
    ProgramId program;
    EnvironmentId environment;
    TokenCount budget = 0;
    TokenCount spent = 0;
    TokenCount reserved = 0;
    std::uint64_t turns = 0;
    Digest chain;
    bool open = false;
    bool operator==(const ProgramSummary&) const = default;
};

/// State of all programs of one shard: history, ledger of non-idempotent calls, and budgets.
///
/// The deciding functions are const and throw typed errors; they return the record that makes
/// the decision last. The caller applies that record at once, and acts on it only after the
/// journal has acknowledged it. Replaying the journal through apply() rebuilds the state.
class ProgramTable {
public:
    explicit ProgramTable(ProgramLimits);

    /// Decides on opening \p program; a repeat by the same key finds the program it opened before.
    /// \throws BudgetExceededError if the parent has too little left, ProgramNotFoundError if it is gone.
    ProgramRecord open(const ProgramOpened& program) const;

    /// Program that was opened by \p key, if any.
    std::optional<ProgramId> findByOpenKey(const EnvironmentId&, const RequestKey& key) const;

    /// Decides on a model call.
    /// \throws ProgramNotFoundError, ProgramBusyError, BudgetExceededError, ConflictError, ProgramEndedError.
    CallDecision startTurn(const TurnRequest&, WallTimePoint now) const;

    /// Record that ends the program's open model call with \p answer; charges at most what was reserved.
    ProgramRecord finishTurn(const ProgramId&, std::string answer, TokenCount used) const;

    /// Record that ends the program's open model call without an answer.
    ProgramRecord failTurn(const ProgramId&, TokenCount charged) const;

    /// Decides on a non-idempotent tool call.
    /// \throws ProgramNotFoundError, ProgramBusyError, ConflictError, OutcomeUnknownError, ProgramEndedError.
    CallDecision recordIntent(const ToolRequest&, WallTimePoint now) const;

    /// Record that ends a non-idempotent call. \p executed must be No only if nothing was sent.
    ProgramRecord recordOutcome(const ProgramId&, const RequestKey&, Executed executed, int status, std::string body) const;

    ProgramRecord close(const ProgramId&, CloseReason) const;

    /// Takes over \p record, whether decided here or replayed from the journal.
    void apply(const ProgramRecord& record);

    /// JSON array: messages of the history in order.
    std::string history(const ProgramId&) const;

    /// Messages that the open model call sends to the engine: history and what the call adds.
    std::string promptOfOpenTurn(const ProgramId&) const;

    /// How \p program was opened. \throws ProgramNotFoundError.
    const ProgramOpened& opening(const ProgramId& program) const;

    /// Tokens of the program's context as the engine counted them last.
    TokenCount contextTokens(const ProgramId&) const;

    ProgramSummary summary(const ProgramId&) const;
    std::vector<ProgramSummary> summaries() const;
    std::size_t size() const { return m_programs.size(); }

private:
    struct OpenTurn {
        TurnStarted start;
    };
    struct FinishedTurn {
        RequestKey key;
        Digest request;
        std::string answer;
        /// Tokens of the whole context after the call.
        TokenCount used = 0;
    };
    struct ToolCall {
        std::string tool;
        Digest request;
        std::optional<OutcomeRecorded> outcome;
    };
    struct Program {
        ProgramOpened opened;
        TokenCount spent = 0;
        TokenCount reserved = 0;
        TokenCount carvedOut = 0;
        std::vector<std::string> messages;
        Digest chain;
        std::uint64_t turns = 0;
        unsigned repeatedCalls = 0;
        std::optional<OpenTurn> openTurn;
        std::optional<FinishedTurn> lastTurn;
        std::map<RequestKey, ToolCall> tools;
        std::optional<CloseReason> closed;

        TokenCount left() const { return opened.budget - spent - reserved - carvedOut; }
    };

    static TokenCount worstCase(const Program&, const std::string& added, TokenCount maxOutput);
    const Program& liveProgram(const ProgramId&) const;
    const Program& knownProgram(const ProgramId&) const;
    Program& mutableProgram(const ProgramId&);

    void applyRecord(const ProgramOpened&);
    void applyRecord(const TurnStarted&);
    void applyRecord(const TurnFinished&);
    void applyRecord(const TurnFailed&);
    void applyRecord(const IntentRecorded&);
    void applyRecord(const OutcomeRecorded&);
    void applyRecord(const ProgramClosed&);

    ProgramLimits m_limits;
    std::unordered_map<ProgramId, Program> m_programs;
    std::unordered_map<std::string, ProgramId> m_openKeys;
};

} // namespace basilpoint
