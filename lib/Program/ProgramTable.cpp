#include "basilpoint/Program/ProgramTable.h"

#include "OpenRules.h"
#include "ToolRules.h"
#include "TurnRules.h"

#include "basilpoint/Program/Errors.h"

#include <algorithm>

namespace basilpoint {

static bool isPastDeadline(const ProgramState& state, WallTimePoint now)
{
    return state.opened.deadline && now >= *state.opened.deadline;
}

ProgramTable::ProgramTable(ProgramLimits limits)
    : m_limits(limits)
{
}

const ProgramState& ProgramTable::requireProgram(const ProgramId& program) const
{
    auto it = m_programs.find(program);
    if (it == m_programs.end())
        throw ProgramNotFoundError(program);
    return it->second;
}

const ProgramState& ProgramTable::requireOpenProgram(const ProgramId& program) const
{
    const ProgramState& state = requireProgram(program);
    if (state.closed)
        throw ProgramEndedError(program, *state.closed);
    return state;
}

const ProgramLimits& ProgramTable::limitsOf(const ProgramState& state) const
{
    return state.opened.limits ? *state.opened.limits : m_limits;
}

ProgramRecord ProgramTable::open(const ProgramOpened& program) const
{
    if (m_programs.contains(program.program) || (!program.openKey.empty() && m_openKeys.contains(openKeyOf(program))))
        throw ConflictError(program.program, program.openKey);
    ProgramOpened record = program;
    record.limits = program.limits.value_or(m_limits);
    record.request = requestDigest(program);
    if (program.parent.empty())
        return record;
    const ProgramState& parent = requireOpenProgram(program.parent);
    if (isPastDeadline(parent, program.openedAt))
        throw ProgramEndedError(program.parent, CloseReason::Deadline);
    if (program.budget > parent.left())
        throw BudgetExceededError(program.parent, program.budget, parent.left());
    if (parent.opened.deadline)
        record.deadline = std::min(record.deadline.value_or(*parent.opened.deadline), *parent.opened.deadline);
    return record;
}

std::optional<ProgramId> ProgramTable::findByOpenKey(const EnvironmentId& environment, const RequestKey& key) const
{
    ProgramOpened wanted;
    wanted.environment = environment;
    wanted.openKey = key;
    auto it = m_openKeys.find(openKeyOf(wanted));
    if (it == m_openKeys.end())
        return std::nullopt;
    return it->second;
}

std::optional<ProgramId> ProgramTable::findByOpenKey(const ProgramOpened& wanted) const
{
    if (wanted.openKey.empty())
        return std::nullopt;
    std::optional<ProgramId> program = findByOpenKey(wanted.environment, wanted.openKey);
    if (program && requireProgram(*program).opened.request != requestDigest(wanted))
        throw ConflictError(*program, wanted.openKey);
    return program;
}

CallDecision ProgramTable::startTurn(const TurnRequest& request, WallTimePoint now) const
{
    const ProgramState& state = requireProgram(request.program);
    if (const FinishedTurn* turn = findFinishedTurn(state, request))
        return RecordedAnswer { 200, answerOf(state, *turn) };
    if (state.closed)
        throw ProgramEndedError(request.program, *state.closed);
    if (state.openTurn || state.hasOpenTool())
        throw ProgramBusyError(request.program);
    if (isPastDeadline(state, now))
        throw ProgramEndedError(request.program, CloseReason::Deadline);
    TurnMessages messages = matchHistory(state, request);
    if (messages.repeatsLastTurn)
        return RecordedAnswer { 200, answerOf(state, state.finishedTurns.back()) };
    if (state.turns >= limitsOf(state).maxTurns)
        throw ProgramEndedError(request.program, CloseReason::TurnLimit);
    if (reachesRepeatLimit(state.repeatedTurns, nonZeroHash(messages.added), limitsOf(state)))
        throw ProgramEndedError(request.program, CloseReason::RepeatedCalls);
    TokenCount reserve = worstCaseTokens(state, messages.added, request.maxOutput);
    if (reserve > state.left())
        throw BudgetExceededError(request.program, reserve, state.left());
    return ProgramRecord(TurnStarted { request.program, TurnNumber(state.turns + 1), request.key, digestOf(messages.added), "[" + messages.added + "]", reserve });
}

const TurnStarted& ProgramTable::openTurnOf(const ProgramId& program) const
{
    const ProgramState& state = requireOpenProgram(program);
    if (!state.openTurn)
        throw ConflictError(program, {});
    return *state.openTurn;
}

ProgramRecord ProgramTable::finishTurn(const ProgramId& program, const std::string& answer, TokenCount used) const
{
    const TurnStarted& start = openTurnOf(program);
    return TurnFinished { program, start.turn, canonicalMessage(answer), std::min(used, start.reserved) };
}

ProgramRecord ProgramTable::failTurn(const ProgramId& program, TokenCount charged) const
{
    const TurnStarted& start = openTurnOf(program);
    return TurnFailed { program, start.turn, std::min(charged, start.reserved) };
}

void ProgramTable::checkIsOpenTurn(const TurnStarted& start) const
{
    if (openTurnOf(start.program) != start)
        throw ConflictError(start.program, start.key);
}

ProgramRecord ProgramTable::finishTurn(const TurnStarted& start, const std::string& answer, TokenCount used) const
{
    checkIsOpenTurn(start);
    return finishTurn(start.program, answer, used);
}

ProgramRecord ProgramTable::failTurn(const TurnStarted& start, TokenCount charged) const
{
    checkIsOpenTurn(start);
    return failTurn(start.program, charged);
}

CallDecision ProgramTable::recordIntent(const ToolRequest& request, WallTimePoint now) const
{
    const ProgramState& state = requireProgram(request.program);
    Digest digest = digestOf(request.body);
    if (auto recorded = findRecordedCall(state, request, digest))
        return *recorded;
    if (state.closed)
        throw ProgramEndedError(request.program, *state.closed);
    if (state.openTurn)
        throw ProgramBusyError(request.program);
    if (isPastDeadline(state, now))
        throw ProgramEndedError(request.program, CloseReason::Deadline);
    if (reachesRepeatLimit(state.repeatedTools, toolHash(request.tool, digest), limitsOf(state)))
        throw ProgramEndedError(request.program, CloseReason::RepeatedCalls);
    return ProgramRecord(IntentRecorded { request.program, request.key, request.tool, digest });
}

ProgramRecord ProgramTable::recordOutcome(const ProgramId& program, const RequestKey& key, Executed executed, int status, std::string body) const
{
    const ProgramState& state = requireProgram(program);
    auto it = state.tools.find(key);
    if (it == state.tools.end())
        throw ConflictError(program, key);
    if (!mayFollow(it->second.executed, executed)) {
        if (it->second.executed == Executed::Unknown)
            throw OutcomeUnknownError(program, key);
        throw ConflictError(program, key);
    }
    return OutcomeRecorded { program, key, executed, status, std::move(body) };
}

std::string ProgramTable::history(const ProgramId& program) const
{
    return "[" + requireProgram(program).history + "]";
}

std::string ProgramTable::promptOfOpenTurn(const ProgramId& program) const
{
    const std::string& added = openTurnOf(program).messages;
    const std::string& history = requireProgram(program).history;
    if (history.empty())
        return added;
    return "[" + history + "," + added.substr(1);
}

const ProgramOpened& ProgramTable::openingRecord(const ProgramId& program) const
{
    return requireProgram(program).opened;
}

TokenCount ProgramTable::contextTokens(const ProgramId& program) const
{
    return requireProgram(program).contextTokens;
}

ProgramSummary ProgramTable::summary(const ProgramId& program) const
{
    const ProgramState& state = requireProgram(program);
    return { program, state.opened.environment, state.opened.budget, state.spent, state.reserved + state.reservedForChildren, state.turns, state.chain, !state.closed };
}

std::vector<ProgramSummary> ProgramTable::summaries() const
{
    std::vector<ProgramSummary> result;
    result.reserve(m_programs.size());
    for (const auto& [id, state] : m_programs)
        result.push_back(summary(id));
    return result;
}

} // namespace basilpoint
