#include "TurnRules.h"

#include "basilpoint/Program/Errors.h"

#include <algorithm>
#include <limits>

namespace basilpoint {

static HistoryConflictError conflictWith(const ProgramState& state)
{
    return { state.opened.program, state.turns, state.chain };
}

// History before the answer of \p turn, which equals the message list of that call if it contained the whole history.
static std::string_view promptOf(const ProgramState& state, const FinishedTurn& turn)
{
    return std::string_view(state.history).substr(0, turn.answerOffset - 1);
}

// Rest of \p text after \p history and a comma; empty if \p text does not begin with these.
static std::string_view continuationOf(std::string_view history, std::string_view text)
{
    if (text.size() <= history.size() + 1 || !text.starts_with(history) || text[history.size()] != ',')
        return {};
    return text.substr(history.size() + 1);
}

// Returns the messages after the history; empty if the list does not begin with the history in canonical form.
// The history is compared byte by byte, and only the rest, which may be a thousand times shorter, is parsed.
static std::optional<MessageList> parseNewMessages(const ProgramState& state, std::string_view json)
{
    if (state.history.empty() || !json.starts_with('['))
        return std::nullopt;
    std::string_view rest = continuationOf(state.history, json.substr(1));
    if (rest.empty())
        return std::nullopt;
    return MessageList::parse("[" + std::string(rest));
}

static TurnMessages matchList(const ProgramState& state, const TurnRequest& request, const MessageList& list)
{
    if (state.turns == 0)
        return { list.text() };
    if (request.form == HistoryForm::Increment)
        return { list.text() };
    std::string_view rest = continuationOf(state.history, list.text());
    if (!rest.empty())
        return { std::string(rest) };
    if (request.form == HistoryForm::Detect && !list.hasAnswer())
        return { list.text() };
    if (list.text() == promptOf(state, state.finishedTurns.back()))
        return { {}, true };
    throw conflictWith(state);
}

// Returns whether the caller has seen all turns but the last. Throws if it has seen another history.
static bool isLastTurnUnseen(const ProgramState& state, const HistoryView& seen)
{
    if (seen.turns > state.turns)
        throw HistoryBehindError(state.opened.program, state.turns, seen.turns);
    if (seen.turns == state.turns && seen.chain == state.chain)
        return false;
    if (seen.turns + 1 == state.turns && seen.chain == state.chainBeforeLastTurn)
        return true;
    throw conflictWith(state);
}

static TurnMessages matchUnseenTurn(const ProgramState& state, const MessageList& list)
{
    const FinishedTurn& last = state.finishedTurns.back();
    if (nonZeroHash(list.text()) != last.request && list.text() != promptOf(state, last))
        throw conflictWith(state);
    return { {}, true };
}

TurnMessages matchHistory(const ProgramState& state, const TurnRequest& request)
{
    bool isLastUnseen = request.seen && isLastTurnUnseen(state, *request.seen);
    if (isLastUnseen)
        return matchUnseenTurn(state, MessageList::parse(request.messages));
    if (request.form != HistoryForm::Increment) {
        if (auto rest = parseNewMessages(state, request.messages))
            return { rest->text() };
    }
    return matchList(state, request, MessageList::parse(request.messages));
}

const FinishedTurn* findFinishedTurn(const ProgramState& state, const TurnRequest& request)
{
    if (request.key.empty())
        return nullptr;
    std::uint64_t key = nonZeroHash(request.key.text());
    auto it = std::find_if(state.finishedTurns.begin(), state.finishedTurns.end(), [&](const FinishedTurn& turn) { return turn.key == key; });
    if (it == state.finishedTurns.end())
        return nullptr;
    MessageList list = MessageList::parse(request.messages);
    if (nonZeroHash(list.text()) == it->request)
        return &*it;
    if (state.closed)
        throw ProgramEndedError(request.program, *state.closed);
    if (list.text() == promptOf(state, *it))
        return &*it;
    throw ConflictError(request.program, request.key);
}

std::string answerOf(const ProgramState& state, const FinishedTurn& turn)
{
    return state.history.substr(turn.answerOffset, turn.answerSize);
}

static TokenCount addSaturated(TokenCount left, TokenCount right)
{
    return left + std::min(right, std::numeric_limits<TokenCount>::max() - left);
}

// The engine has counted the context of the last call. The new messages have at most one token for each byte.
TokenCount worstCaseTokens(const ProgramState& state, const std::string& added, TokenCount maxOutput)
{
    return addSaturated(addSaturated(state.contextTokens, added.size()), maxOutput);
}

std::uint64_t nonZeroHash(std::string_view text)
{
    return std::max<std::uint64_t>(hash64(text), 1);
}

bool reachesRepeatLimit(const RepeatCounter& counter, std::uint64_t request, const ProgramLimits& limits)
{
    return counter.request == request && counter.count >= limits.maxRepeatedCalls;
}

void countCall(RepeatCounter& counter, std::uint64_t request)
{
    counter.count = counter.request == request ? counter.count + 1 : 1;
    counter.request = request;
}

} // namespace basilpoint
