#include "basilpoint/Program/ProgramTable.h"

#include "basilpoint/Program/Errors.h"

#include <cassert>
#include <nlohmann/json.hpp>

namespace basilpoint {

using Json = nlohmann::json;

static std::string openKeyOf(const EnvironmentId& environment, const RequestKey& key)
{
    return environment.text() + '\n' + key.text();
}

static std::vector<std::string> splitMessages(const std::string& messages)
{
    Json json = Json::parse(messages, nullptr, false);
    if (!json.is_array() || json.empty())
        throw InvalidInputError("messages", std::string(json.type_name()), "a JSON array of at least one message");
    std::vector<std::string> result;
    for (const Json& message : json)
        result.push_back(message.dump());
    return result;
}

static std::string joinMessages(const std::vector<std::string>& messages)
{
    std::string text = "[";
    for (const std::string& message : messages) {
        if (text.size() > 1)
            text += ',';
        text += message;
    }
    return text + "]";
}

// A caller may send the whole history again. It counts as such if it begins with every message
// that the program has; what follows is new.
static std::vector<std::string> newMessages(std::vector<std::string> sent, const std::vector<std::string>& history)
{
    if (history.empty() || sent.size() <= history.size())
        return sent;
    if (!std::equal(history.begin(), history.end(), sent.begin()))
        return sent;
    sent.erase(sent.begin(), sent.begin() + static_cast<std::ptrdiff_t>(history.size()));
    return sent;
}

ProgramTable::ProgramTable(ProgramLimits limits)
    : m_limits(limits)
{
}

const ProgramTable::Program& ProgramTable::knownProgram(const ProgramId& program) const
{
    auto it = m_programs.find(program);
    if (it == m_programs.end())
        throw ProgramNotFoundError(program);
    return it->second;
}

const ProgramTable::Program& ProgramTable::liveProgram(const ProgramId& program) const
{
    const Program& state = knownProgram(program);
    if (state.closed)
        throw ProgramEndedError(program, *state.closed);
    return state;
}

ProgramTable::Program& ProgramTable::mutableProgram(const ProgramId& program)
{
    auto it = m_programs.find(program);
    assert(it != m_programs.end() && "records follow the opening of their program");
    return it->second;
}

// The engine has counted the context of the last call; of what is new, a token has at least one byte.
TokenCount ProgramTable::worstCase(const Program& state, const std::string& added, TokenCount maxOutput)
{
    TokenCount known = state.lastTurn ? state.lastTurn->used : 0;
    return known + added.size() + maxOutput;
}

ProgramRecord ProgramTable::open(const ProgramOpened& program) const
{
    assert(!m_programs.contains(program.program) && "program ids are unique");
    if (program.parent.empty())
        return program;
    const Program& parent = liveProgram(program.parent);
    if (program.budget > parent.left())
        throw BudgetExceededError(program.parent, program.budget, parent.left());
    return program;
}

std::optional<ProgramId> ProgramTable::findByOpenKey(const EnvironmentId& environment, const RequestKey& key) const
{
    auto it = m_openKeys.find(openKeyOf(environment, key));
    if (it == m_openKeys.end())
        return std::nullopt;
    return it->second;
}

CallDecision ProgramTable::startTurn(const TurnRequest& request, WallTimePoint now) const
{
    const Program& state = liveProgram(request.program);
    std::vector<std::string> sent = splitMessages(request.messages);
    if (state.lastTurn) {
        bool sameKey = !request.key.empty() && request.key == state.lastTurn->key;
        bool sameRequest = digestOf(joinMessages(sent)) == state.lastTurn->request;
        if (sameKey && !sameRequest)
            throw ConflictError(request.program, request.key);
        if (sameKey)
            return RecordedAnswer { 200, state.lastTurn->answer };
    }
    if (state.openTurn)
        throw ProgramBusyError(request.program);
    for (const auto& [key, call] : state.tools) {
        if (!call.outcome)
            throw ProgramBusyError(request.program);
    }
    if (state.opened.deadline && now >= *state.opened.deadline)
        throw ProgramEndedError(request.program, CloseReason::Deadline);
    if (state.turns >= m_limits.maxTurns)
        throw ProgramEndedError(request.program, CloseReason::TurnLimit);
    Digest digest = digestOf(joinMessages(sent));
    std::string added = joinMessages(newMessages(std::move(sent), state.messages));
    TokenCount reserve = worstCase(state, added, request.maxOutput);
    if (reserve > state.left())
        throw BudgetExceededError(request.program, reserve, state.left());
    return ProgramRecord(TurnStarted { request.program, TurnNumber(state.turns + 1), request.key, digest, std::move(added), reserve });
}

ProgramRecord ProgramTable::finishTurn(const ProgramId& program, std::string answer, TokenCount used) const
{
    const Program& state = knownProgram(program);
    assert(state.openTurn && "only an open model call finishes");
    const TurnStarted& start = state.openTurn->start;
    return TurnFinished { program, start.turn, std::move(answer), std::min(used, start.reserved) };
}

ProgramRecord ProgramTable::failTurn(const ProgramId& program, TokenCount charged) const
{
    const Program& state = knownProgram(program);
    assert(state.openTurn && "only an open model call fails");
    const TurnStarted& start = state.openTurn->start;
    return TurnFailed { program, start.turn, std::min(charged, start.reserved) };
}

CallDecision ProgramTable::recordIntent(const ToolRequest& request, WallTimePoint now) const
{
    const Program& state = knownProgram(request.program);
    Digest digest = digestOf(request.body);
    auto it = state.tools.find(request.key);
    if (it != state.tools.end()) {
        const ToolCall& call = it->second;
        if (call.tool != request.tool || call.request != digest)
            throw ConflictError(request.program, request.key);
        if (!call.outcome)
            throw ProgramBusyError(request.program);
        if (call.outcome->executed == Executed::Yes)
            return RecordedAnswer { call.outcome->status, call.outcome->body };
        if (call.outcome->executed == Executed::Unknown)
            throw OutcomeUnknownError(request.program, request.key);
    }
    if (state.closed)
        throw ProgramEndedError(request.program, *state.closed);
    if (state.openTurn)
        throw ProgramBusyError(request.program);
    if (state.opened.deadline && now >= *state.opened.deadline)
        throw ProgramEndedError(request.program, CloseReason::Deadline);
    return ProgramRecord(IntentRecorded { request.program, request.key, request.tool, digest });
}

ProgramRecord ProgramTable::recordOutcome(const ProgramId& program, const RequestKey& key, Executed executed, int status, std::string body) const
{
    assert(knownProgram(program).tools.contains(key) && "an outcome follows its intent");
    return OutcomeRecorded { program, key, executed, status, std::move(body) };
}

ProgramRecord ProgramTable::close(const ProgramId& program, CloseReason reason) const
{
    const Program& state = liveProgram(program);
    if (state.openTurn)
        throw ProgramBusyError(program);
    return ProgramClosed { program, reason };
}

void ProgramTable::apply(const ProgramRecord& record)
{
    std::visit([this](const auto& it) { applyRecord(it); }, record);
}

void ProgramTable::applyRecord(const ProgramOpened& record)
{
    Program state;
    state.opened = record;
    m_programs.emplace(record.program, std::move(state));
    if (!record.openKey.empty())
        m_openKeys.emplace(openKeyOf(record.environment, record.openKey), record.program);
    if (!record.parent.empty())
        mutableProgram(record.parent).carvedOut += record.budget;
}

void ProgramTable::applyRecord(const TurnStarted& record)
{
    Program& state = mutableProgram(record.program);
    state.reserved += record.reserved;
    state.openTurn = OpenTurn { record };
}

void ProgramTable::applyRecord(const TurnFinished& record)
{
    Program& state = mutableProgram(record.program);
    assert(state.openTurn && state.openTurn->start.turn == record.turn && "an answer belongs to the open call");
    const TurnStarted& start = state.openTurn->start;
    state.reserved -= start.reserved;
    state.spent += record.used;
    for (std::string& message : splitMessages(start.messages))
        state.messages.push_back(std::move(message));
    state.messages.push_back(record.answer);
    state.chain = extendDigest(extendDigest(state.chain, start.messages), record.answer);
    state.turns = record.turn.value();
    state.lastTurn = FinishedTurn { start.key, start.request, record.answer, record.used };
    state.openTurn.reset();
}

void ProgramTable::applyRecord(const TurnFailed& record)
{
    Program& state = mutableProgram(record.program);
    assert(state.openTurn && state.openTurn->start.turn == record.turn && "a failure belongs to the open call");
    state.reserved -= state.openTurn->start.reserved;
    state.spent += record.charged;
    state.openTurn.reset();
}

void ProgramTable::applyRecord(const IntentRecorded& record)
{
    mutableProgram(record.program).tools[record.key] = ToolCall { record.tool, record.request, std::nullopt };
}

void ProgramTable::applyRecord(const OutcomeRecorded& record)
{
    mutableProgram(record.program).tools[record.key].outcome = record;
}

void ProgramTable::applyRecord(const ProgramClosed& record)
{
    Program& state = mutableProgram(record.program);
    state.closed = record.reason;
    state.messages.clear();
    if (state.opened.parent.empty())
        return;
    // What a sub-agent did not spend goes back to its parent.
    Program& parent = mutableProgram(state.opened.parent);
    parent.carvedOut -= state.opened.budget;
    parent.spent += state.spent + state.carvedOut;
}

std::string ProgramTable::history(const ProgramId& program) const
{
    return joinMessages(knownProgram(program).messages);
}

std::string ProgramTable::promptOfOpenTurn(const ProgramId& program) const
{
    const Program& state = knownProgram(program);
    assert(state.openTurn && "a prompt belongs to an open call");
    std::vector<std::string> messages = state.messages;
    for (std::string& message : splitMessages(state.openTurn->start.messages))
        messages.push_back(std::move(message));
    return joinMessages(messages);
}

const ProgramOpened& ProgramTable::opening(const ProgramId& program) const
{
    return knownProgram(program).opened;
}

TokenCount ProgramTable::contextTokens(const ProgramId& program) const
{
    const Program& state = knownProgram(program);
    return state.lastTurn ? state.lastTurn->used : 0;
}

ProgramSummary ProgramTable::summary(const ProgramId& program) const
{
    const Program& state = knownProgram(program);
    return { program, state.opened.environment, state.opened.budget, state.spent, state.reserved + state.carvedOut, state.turns, state.chain, !state.closed };
}

std::vector<ProgramSummary> ProgramTable::summaries() const
{
    std::vector<ProgramSummary> result;
    for (const auto& [id, state] : m_programs)
        result.push_back(summary(id));
    return result;
}

} // namespace basilpoint
