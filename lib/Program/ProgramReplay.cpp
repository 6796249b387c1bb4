#include "OpenRules.h"
#include "ToolRules.h"
#include "TurnRules.h"

#include "basilpoint/Program/Errors.h"
#include "basilpoint/Program/ProgramTable.h"

#include <algorithm>

namespace basilpoint {

static void require(bool holds, const ProgramId& program, const char* rule)
{
    if (!holds)
        throw RecordMismatchError(program, rule);
}

static void requireOpenTurn(const ProgramState& state, TurnNumber turn, TokenCount charged)
{
    const ProgramId& program = state.opened.program;
    require(state.openTurn && state.openTurn->turn == turn, program, "the end of a call follows its start");
    require(charged <= state.openTurn->reserved, program, "a call costs at most its reservation");
}

bool ProgramState::hasOpenTool() const
{
    return std::any_of(tools.begin(), tools.end(), [](const auto& it) { return !it.second.executed; });
}

ProgramState& ProgramTable::recordedProgram(const ProgramId& program)
{
    auto it = m_programs.find(program);
    require(it != m_programs.end(), program, "records follow the opening of their program");
    return it->second;
}

ProgramState& ProgramTable::recordedOpenProgram(const ProgramId& program)
{
    ProgramState& state = recordedProgram(program);
    require(!state.closed, program, "a closed program runs no call");
    return state;
}

void ProgramTable::apply(const ProgramRecord& record)
{
    std::visit([this](const auto& it) { applyRecord(it); }, record);
}

void ProgramTable::applyRecord(const ProgramOpened& record)
{
    require(!m_programs.contains(record.program), record.program, "a program opens once");
    require(record.openKey.empty() || !m_openKeys.contains(openKeyOf(record)), record.program, "a key opens one program");
    if (!record.parent.empty()) {
        ProgramState& parent = recordedOpenProgram(record.parent);
        require(record.budget <= parent.left(), record.program, "a sub-agent's budget comes out of its parent's");
        parent.reservedForChildren += record.budget;
        ++parent.openChildren;
    }
    if (!record.openKey.empty())
        m_openKeys.emplace(openKeyOf(record), record.program);
    m_programs[record.program].opened = record;
}

void ProgramTable::applyRecord(const TurnStarted& record)
{
    ProgramState& state = recordedOpenProgram(record.program);
    require(!state.openTurn && !state.hasOpenTool(), record.program, "calls run one after the other");
    require(record.turn.value() == state.turns + 1, record.program, "turns are numbered in order");
    require(record.messages.size() > 2, record.program, "a call adds messages");
    require(record.reserved <= state.left(), record.program, "a reservation fits the budget");
    state.reserved = record.reserved;
    state.openTurn = record;
}

// Reserves an eighth more than needed. std::string would double its capacity, which would waste memory, as most
// programs are idle most of the time.
static void appendWithSlack(std::string& text, std::string_view added)
{
    std::size_t needed = text.size() + added.size();
    if (needed > text.capacity()) {
        std::string grown;
        grown.reserve(needed + needed / 8);
        grown.append(text);
        text.swap(grown);
    }
    text.append(added);
}

// Returns the offset of the answer in the history.
static std::uint64_t addToHistory(std::string& history, std::string_view added, std::string_view answer)
{
    std::string text = history.empty() ? "" : ",";
    text.append(added).append(1, ',');
    std::uint64_t answerOffset = history.size() + text.size();
    appendWithSlack(history, text.append(answer));
    return answerOffset;
}

// A repeat of a call without a key is recognized only while the call is the last one.
static void rememberTurn(ProgramState& state, const FinishedTurn& turn)
{
    if (!state.finishedTurns.empty() && state.finishedTurns.back().key == 0)
        state.finishedTurns.pop_back();
    state.finishedTurns.push_back(turn);
}

void ProgramTable::applyRecord(const TurnFinished& record)
{
    ProgramState& state = recordedOpenProgram(record.program);
    requireOpenTurn(state, record.turn, record.used);
    const TurnStarted start = std::move(*state.openTurn);
    state.openTurn.reset();
    std::string_view added = std::string_view(start.messages).substr(1, start.messages.size() - 2);
    state.reserved = 0;
    state.spent += record.used;
    state.contextTokens = record.used;
    state.turns = record.turn.value();
    state.chainBeforeLastTurn = state.chain;
    state.chain = extendChain(extendChain(state.chain, added), record.answer);
    countCall(state.repeatedTurns, nonZeroHash(added));
    std::uint64_t key = start.key.empty() ? 0 : nonZeroHash(start.key.text());
    std::uint64_t answerOffset = addToHistory(state.history, added, record.answer);
    rememberTurn(state, { key, nonZeroHash(added), answerOffset, record.answer.size() });
}

void ProgramTable::applyRecord(const TurnFailed& record)
{
    ProgramState& state = recordedOpenProgram(record.program);
    requireOpenTurn(state, record.turn, record.charged);
    state.openTurn.reset();
    state.reserved = 0;
    state.spent += record.charged;
}

void ProgramTable::applyRecord(const IntentRecorded& record)
{
    ProgramState& state = recordedOpenProgram(record.program);
    require(!state.openTurn, record.program, "calls run one after the other");
    auto it = state.tools.find(record.key);
    require(it == state.tools.end() || it->second.executed == Executed::No, record.program, "a non-idempotent call is sent once");
    state.tools[record.key] = ToolCall { record.tool, record.request, std::nullopt, 0, {} };
}

void ProgramTable::applyRecord(const OutcomeRecorded& record)
{
    ProgramState& state = recordedProgram(record.program);
    auto it = state.tools.find(record.key);
    require(it != state.tools.end(), record.program, "an outcome follows its intent");
    ToolCall& call = it->second;
    require(mayFollow(call.executed, record.executed), record.program, "an outcome is final");
    if (!call.executed && record.executed != Executed::No)
        countCall(state.repeatedTools, toolHash(call.tool, call.request));
    call.executed = record.executed;
    call.status = record.status;
    call.body = record.body;
}

// A closed program repeats only its last answer.
static void keepLastAnswer(ProgramState& state)
{
    if (state.finishedTurns.empty())
        return;
    FinishedTurn last = state.finishedTurns.back();
    state.history = answerOf(state, last);
    last.answerOffset = 0;
    state.finishedTurns = { last };
}

void ProgramTable::applyRecord(const ProgramClosed& record)
{
    ProgramState& state = recordedOpenProgram(record.program);
    require(!state.openTurn && !state.hasOpenTool(), record.program, "a program closes after its calls");
    require(state.openChildren == 0, record.program, "a program closes after its sub-agents");
    if (!state.opened.parent.empty()) {
        // The tokens that the sub-agent did not spend return to its parent.
        ProgramState& parent = recordedOpenProgram(state.opened.parent);
        parent.reservedForChildren -= state.opened.budget;
        parent.spent += state.spent;
        --parent.openChildren;
    }
    keepLastAnswer(state);
    state.history.shrink_to_fit();
    state.closed = record.reason;
    state.closedAt = record.closedAt;
}

void ProgramTable::applyRecord(const ProgramForgotten& record)
{
    ProgramState& state = recordedProgram(record.program);
    require(state.closed.has_value(), record.program, "only a closed program is forgotten");
    switch (record.scope) {
    case ForgetScope::Answers:
        state.history = {};
        state.finishedTurns = {};
        return;
    case ForgetScope::Everything:
        if (!state.opened.openKey.empty())
            m_openKeys.erase(openKeyOf(state.opened));
        m_programs.erase(ProgramId(record.program));
        return;
    }
}

// Subtracts the parts one by one: a sum of values from a damaged record could overflow.
static bool isWithinBudget(const ProgramState& state)
{
    TokenCount left = state.opened.budget;
    for (TokenCount part : { state.spent, state.reserved, state.reservedForChildren }) {
        if (part > left)
            return false;
        left -= part;
    }
    return true;
}

void ProgramTable::applyRecord(const ProgramSnapshot& record)
{
    const ProgramOpened& opened = record.state.opened;
    require(opened.program == record.program && !m_programs.contains(record.program), record.program, "a program opens once");
    require(opened.openKey.empty() || !m_openKeys.contains(openKeyOf(opened)), record.program, "a key opens one program");
    require(isWithinBudget(record.state), record.program, "a program stays within its budget");
    if (!opened.openKey.empty())
        m_openKeys.emplace(openKeyOf(opened), record.program);
    m_programs.emplace(record.program, record.state);
}

} // namespace basilpoint
