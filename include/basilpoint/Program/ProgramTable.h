#pragma once

#include "basilpoint/Program/Records.h"

#include <cstddef>
#include <map>
#include <unordered_map>
#include <variant>
#include <vector>

namespace basilpoint {

/// Whether a caller's message list contains the history.
enum class HistoryForm {
    /// Whole if the list begins with the whole history or contains an answer of the model, otherwise Increment.
    Detect,
    /// The whole history, followed by the new messages.
    Whole,
    /// Only the new messages.
    Increment,
};

/// History as a caller last saw it.
struct HistoryView {
    std::uint64_t turns = 0;
    Digest chain;

    bool operator==(const HistoryView&) const = default;
};

/// Model call as requested by a caller.
struct TurnRequest {
    ProgramId program;
    /// Empty if the caller gave none; a repeat of the last call is then recognized by a whole list or by \ref seen.
    RequestKey key;
    /// JSON array of the new messages, with or without the whole history before them.
    std::string messages;
    /// Maximum number of tokens that the engine may generate.
    TokenCount maxOutput = 0;
    HistoryForm form = HistoryForm::Detect;
    /// History that the call continues, if the caller states it.
    std::optional<HistoryView> seen = std::nullopt;
};

/// Non-idempotent tool call as requested by a caller.
struct ToolRequest {
    ProgramId program;
    RequestKey key;
    std::string tool;
    std::string body;
};

/// Answer that is already in the journal and is returned unchanged.
struct RecordedAnswer {
    int status = 200;
    std::string body;

    bool operator==(const RecordedAnswer&) const = default;
};

/// Either a record to be journalled before the call may be dispatched, or the recorded answer of an earlier call.
using CallDecision = std::variant<ProgramRecord, RecordedAnswer>;

/// State of a program as shown to operators.
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
/// The functions that decide on requests are const and throw typed errors; they return the records to be journalled.
/// The caller applies these at once and in order, but acts on a decision only after the journal has acknowledged its
/// records. Replaying the journal through apply() rebuilds the state.
class ProgramTable {
public:
    /// \param limits limits of programs whose opening record has none.
    explicit ProgramTable(ProgramLimits limits);

    /// Decides on opening \p program; the caller must first look for a repeat with findByOpenKey().
    /// \throws ConflictError if the key or the id is taken, BudgetExceededError if the parent
    /// has too little left, ProgramNotFoundError or ProgramEndedError if the parent is unknown or has ended.
    ProgramRecord open(const ProgramOpened& program) const;

    /// Program that was opened with \p key, if any.
    std::optional<ProgramId> findByOpenKey(const EnvironmentId&, const RequestKey& key) const;

    /// Program that an earlier request with the key of \p wanted opened, if any.
    /// \throws ConflictError if that request was different.
    std::optional<ProgramId> findByOpenKey(const ProgramOpened& wanted) const;

    /// Decides on a model call.
    /// \throws InvalidInputError, ProgramNotFoundError, ProgramBusyError, BudgetExceededError, ConflictError,
    /// HistoryConflictError, HistoryBehindError, ProgramEndedError. After ProgramEndedError, the caller must apply closeTree().
    CallDecision startTurn(const TurnRequest&, WallTimePoint now) const;

    /// Record that ends the program's open model call with \p answer; charges at most the reserved tokens.
    /// \throws ProgramNotFoundError, ProgramEndedError if a limit has ended the program meanwhile.
    ProgramRecord finishTurn(const ProgramId&, const std::string& answer, TokenCount used) const;

    /// Record that ends the program's open model call without an answer.
    /// \throws ProgramNotFoundError, ProgramEndedError if a limit has ended the program meanwhile.
    ProgramRecord failTurn(const ProgramId&, TokenCount charged) const;

    /// Like the overloads above, but only if \p start is the open call. An owner that lost its shard and regained it
    /// may receive the answer to a call from before the loss while another call is open.
    /// \throws ConflictError if \p start is not the open call.
    ProgramRecord finishTurn(const TurnStarted& start, const std::string& answer, TokenCount used) const;
    ProgramRecord failTurn(const TurnStarted& start, TokenCount charged) const;

    /// Decides on a non-idempotent tool call.
    /// \throws ProgramNotFoundError, ProgramBusyError, ConflictError, OutcomeUnknownError, ProgramEndedError.
    CallDecision recordIntent(const ToolRequest&, WallTimePoint now) const;

    /// Record that ends a non-idempotent call. \p executed may be No only if nothing was sent.
    /// Executed::Yes also settles a call whose outcome was unknown.
    /// \throws ProgramNotFoundError, ConflictError if the call is unknown or already has an outcome, OutcomeUnknownError
    /// if its outcome is unknown and \p executed is not Yes.
    ProgramRecord recordOutcome(const ProgramId&, const RequestKey&, Executed executed, int status, std::string body) const;

    /// \throws ProgramBusyError while the program has an open call or an open sub-agent.
    ProgramRecord close(const ProgramId&, CloseReason, WallTimePoint now = {}) const;

    /// Records that end a program and its sub-agents regardless of open calls: these are settled at their worst case,
    /// and sub-agents close before their parents. Empty if the program is already closed.
    std::vector<ProgramRecord> closeTree(const ProgramId&, CloseReason, WallTimePoint now) const;

    /// Records that end all programs past their deadline.
    std::vector<ProgramRecord> closeOverdue(WallTimePoint now) const;

    /// Records that a new owner applies before it serves. The former owner may have sent every open call, so that
    /// outcomes become unknown and reservations are charged in full.
    std::vector<ProgramRecord> recoverAfterTakeOver(WallTimePoint now) const;

    /// Records that remove data of closed programs whose retention times are over.
    std::vector<ProgramRecord> forgetExpired(WallTimePoint now) const;

    /// Applies \p record, whether decided here or replayed from the journal.
    /// \throws RecordMismatchError if it contradicts the records before it; the state is then unchanged.
    void apply(const ProgramRecord& record);

    /// Records that rebuild the current state, one for each program.
    std::vector<ProgramRecord> compactRecords() const;

    /// Messages of the history in order, as a JSON array.
    std::string history(const ProgramId&) const;

    /// Messages that the open model call sends to the engine, as a JSON array: the history and the messages that it adds.
    /// \throws ProgramNotFoundError, ProgramEndedError if a limit has ended the program meanwhile.
    std::string promptOfOpenTurn(const ProgramId&) const;

    /// Record that opened \p program. \throws ProgramNotFoundError.
    const ProgramOpened& openingRecord(const ProgramId& program) const;

    /// Number of tokens in the program's context, as the engine last counted them.
    TokenCount contextTokens(const ProgramId&) const;

    ProgramSummary summary(const ProgramId&) const;
    std::vector<ProgramSummary> summaries() const;
    std::size_t size() const { return m_programs.size(); }

    bool operator==(const ProgramTable&) const = default;

private:
    const ProgramState& requireProgram(const ProgramId&) const;
    const ProgramState& requireOpenProgram(const ProgramId&) const;
    const TurnStarted& openTurnOf(const ProgramId&) const;
    void checkIsOpenTurn(const TurnStarted&) const;
    ProgramState& recordedProgram(const ProgramId&);
    ProgramState& recordedOpenProgram(const ProgramId&);
    const ProgramLimits& limitsOf(const ProgramState&) const;

    std::vector<ProgramId> openSubtree(const ProgramId& root) const;
    bool isWithin(const ProgramId& program, const ProgramId& root) const;
    std::size_t depthOf(const ProgramId&) const;
    void sortChildrenFirst(std::vector<ProgramId>&) const;

    void applyRecord(const ProgramOpened&);
    void applyRecord(const TurnStarted&);
    void applyRecord(const TurnFinished&);
    void applyRecord(const TurnFailed&);
    void applyRecord(const IntentRecorded&);
    void applyRecord(const OutcomeRecorded&);
    void applyRecord(const ProgramClosed&);
    void applyRecord(const ProgramForgotten&);
    void applyRecord(const ProgramSnapshot&);

    ProgramLimits m_limits;
    std::unordered_map<ProgramId, ProgramState> m_programs;
    std::unordered_map<std::string, ProgramId> m_openKeys;
};

} // namespace basilpoint
