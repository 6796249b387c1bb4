#pragma once

#include "basilpoint/Program/Records.h"

#include <cstddef>
#include <map>
#include <unordered_map>
#include <variant>
#include <vector>

namespace basilpoint {

/// How a caller's message list relates to the history.
enum class HistoryForm {
    /// Whole if it begins with the whole history, or contains an answer of the model; else only what is new.
    Detect,
    Whole,
    Increment,
};

/// History as a caller has seen it.
struct HistoryView {
    std::uint64_t turns = 0;
    Digest chain;

    bool operator==(const HistoryView&) const = default;
};

/// A model call as its caller asks for it.
struct TurnRequest {
    ProgramId program;
    /// Empty if the caller gave none; a repeat of the last call is then found by a whole list or by \ref seen.
    RequestKey key;
    /// JSON array: either the whole history and what is new, or only what is new.
    std::string messages;
    /// Most tokens that the engine may generate.
    TokenCount maxOutput = 0;
    HistoryForm form = HistoryForm::Detect;
    /// History that the call continues, if the caller shows it.
    std::optional<HistoryView> seen = std::nullopt;
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
/// The deciding functions are const and throw typed errors; they return the records that make
/// the decision last. The caller applies them at once and in order, and acts on them only after
/// the journal has acknowledged them. Replaying the journal through apply() rebuilds the state.
class ProgramTable {
public:
    /// \param limits for programs whose opening record has none.
    explicit ProgramTable(ProgramLimits limits);

    /// Decides on opening \p program; look for a repeat by findByOpenKey() first.
    /// \throws ConflictError if the key or the id is taken, BudgetExceededError if the parent
    /// has too little left, ProgramNotFoundError or ProgramEndedError if it is gone.
    ProgramRecord open(const ProgramOpened& program) const;

    /// Program that was opened by \p key, if any.
    std::optional<ProgramId> findByOpenKey(const EnvironmentId&, const RequestKey& key) const;

    /// Program that an earlier request with the key of \p wanted has opened, if any.
    /// \throws ConflictError if that request had other content.
    std::optional<ProgramId> findByOpenKey(const ProgramOpened& wanted) const;

    /// Decides on a model call.
    /// \throws InvalidInputError, ProgramNotFoundError, ProgramBusyError, BudgetExceededError, ConflictError,
    /// HistoryConflictError, HistoryBehindError, ProgramEndedError. After the last one, apply closeTree().
    CallDecision startTurn(const TurnRequest&, WallTimePoint now) const;

    /// Record that ends the program's open model call with \p answer; charges at most what was reserved.
    /// \throws ProgramNotFoundError, ProgramEndedError if a guard has ended the call meanwhile.
    ProgramRecord finishTurn(const ProgramId&, const std::string& answer, TokenCount used) const;

    /// Record that ends the program's open model call without an answer.
    /// \throws ProgramNotFoundError, ProgramEndedError if a guard has ended the call meanwhile.
    ProgramRecord failTurn(const ProgramId&, TokenCount charged) const;

    /// The same for the call that \p start began. An owner that lost its shard and got it back may
    /// still wait for the answer to a call of before, while another one is open.
    /// \throws ConflictError if \p start is not the open call.
    ProgramRecord finishTurn(const TurnStarted& start, const std::string& answer, TokenCount used) const;
    ProgramRecord failTurn(const TurnStarted& start, TokenCount charged) const;

    /// Decides on a non-idempotent tool call.
    /// \throws ProgramNotFoundError, ProgramBusyError, ConflictError, OutcomeUnknownError, ProgramEndedError.
    CallDecision recordIntent(const ToolRequest&, WallTimePoint now) const;

    /// Record that ends a non-idempotent call. \p executed must be No only if nothing was sent.
    /// "It ran" also settles a call whose outcome was unknown.
    /// \throws ProgramNotFoundError, ConflictError if the call has its outcome, OutcomeUnknownError.
    ProgramRecord recordOutcome(const ProgramId&, const RequestKey&, Executed executed, int status, std::string body) const;

    /// \throws ProgramBusyError while the program has an open call or an open sub-agent.
    ProgramRecord close(const ProgramId&, CloseReason, WallTimePoint now = {}) const;

    /// Records that end a program and its sub-agents whatever is under way: open calls are settled
    /// at their worst, then sub-agents close before their parents. Empty if it is closed already.
    std::vector<ProgramRecord> closeTree(const ProgramId&, CloseReason, WallTimePoint now) const;

    /// Records that end all programs past their deadline.
    std::vector<ProgramRecord> closeOverdue(WallTimePoint now) const;

    /// Records that a new owner applies before it serves: the former owner may have sent every
    /// call that is open, so that outcomes are unknown and reservations are charged in full.
    std::vector<ProgramRecord> recoverAfterTakeOver(WallTimePoint now) const;

    /// Records of closed programs whose retention times are over.
    std::vector<ProgramRecord> forgetExpired(WallTimePoint now) const;

    /// Takes over \p record, whether decided here or replayed from the journal.
    /// \throws RecordMismatchError if it does not follow from the records before it; the state is then unchanged.
    void apply(const ProgramRecord& record);

    /// Records that rebuild the present state, one for each program.
    std::vector<ProgramRecord> compactRecords() const;

    /// JSON array: messages of the history in order.
    std::string history(const ProgramId&) const;

    /// Messages that the open model call sends to the engine: history and what the call adds.
    /// \throws ProgramNotFoundError, ProgramEndedError if a guard has ended the call meanwhile.
    std::string promptOfOpenTurn(const ProgramId&) const;

    /// How \p program was opened. \throws ProgramNotFoundError.
    const ProgramOpened& openingRecord(const ProgramId& program) const;

    /// Tokens of the program's context as the engine counted them last.
    TokenCount contextTokens(const ProgramId&) const;

    ProgramSummary summary(const ProgramId&) const;
    std::vector<ProgramSummary> summaries() const;
    std::size_t size() const { return m_programs.size(); }

    bool operator==(const ProgramTable&) const = default;

private:
    const ProgramState& knownProgram(const ProgramId&) const;
    const ProgramState& liveProgram(const ProgramId&) const;
    const TurnStarted& openTurnOf(const ProgramId&) const;
    void requireOpen(const TurnStarted&) const;
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
    void applyRecord(const ProgramRestored&);

    ProgramLimits m_limits;
    std::unordered_map<ProgramId, ProgramState> m_programs;
    std::unordered_map<std::string, ProgramId> m_openKeys;
};

} // namespace basilpoint
