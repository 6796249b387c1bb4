#include "StateCodec.h"

namespace basilpoint {

using Json = nlohmann::json;

// Times are stored in nanoseconds, so that a table that is rebuilt from its records equals the one that wrote them.
Json timeToJson(WallTimePoint time)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}

WallTimePoint timeFromJson(const Json& json)
{
    return WallTimePoint(std::chrono::nanoseconds(json.get<std::int64_t>()));
}

static Digest digestFromJson(const Json& json)
{
    return parseDigest(json.get_ref<const std::string&>());
}

static Json encodeLimits(const ProgramLimits& limits)
{
    return { limits.maxTurns, limits.maxRepeatedCalls, limits.answerRetention.count(), limits.keyRetention.count() };
}

static ProgramLimits decodeLimits(const Json& json)
{
    return { json.at(0), json.at(1), std::chrono::seconds(json.at(2).get<std::int64_t>()), std::chrono::seconds(json.at(3).get<std::int64_t>()) };
}

Json encodeOpened(const ProgramOpened& record)
{
    Json json { { "p", record.program.text() }, { "env", record.environment.text() }, { "op", record.owner.text() }, { "key", record.openKey.text() }, { "parent", record.parent.text() }, { "budget", record.budget }, { "at", timeToJson(record.openedAt) }, { "digest", record.request.text() } };
    if (record.deadline)
        json["deadline"] = timeToJson(*record.deadline);
    if (record.limits)
        json["limits"] = encodeLimits(*record.limits);
    return json;
}

ProgramOpened decodeOpened(const Json& json)
{
    ProgramOpened record;
    record.program = ProgramId(json.at("p"));
    record.environment = EnvironmentId(json.at("env"));
    record.owner = OperatorId(json.at("op"));
    record.openKey = RequestKey(json.at("key"));
    record.parent = ProgramId(json.at("parent"));
    record.budget = json.at("budget");
    record.openedAt = timeFromJson(json.at("at"));
    record.request = digestFromJson(json.at("digest"));
    if (json.contains("deadline"))
        record.deadline = timeFromJson(json["deadline"]);
    if (json.contains("limits"))
        record.limits = decodeLimits(json["limits"]);
    return record;
}

Json encodeTurnStarted(const TurnStarted& record)
{
    return { { "p", record.program.text() }, { "n", record.turn.value() }, { "key", record.key.text() }, { "digest", record.request.text() }, { "messages", record.messages }, { "reserved", record.reserved } };
}

TurnStarted decodeTurnStarted(const Json& json)
{
    return { ProgramId(json.at("p")), TurnNumber(json.at("n")), RequestKey(json.at("key")), digestFromJson(json.at("digest")), json.at("messages"), json.at("reserved") };
}

static Json encodeFinishedTurns(const std::vector<FinishedTurn>& turns)
{
    Json json = Json::array();
    for (const FinishedTurn& turn : turns)
        json.push_back({ turn.key, turn.request, turn.answerOffset, turn.answerSize });
    return json;
}

// Checks that each answer lies within the history: offsets from a damaged record could cause reads beyond it.
static std::vector<FinishedTurn> decodeFinishedTurns(const Json& json, std::size_t historySize)
{
    std::vector<FinishedTurn> turns;
    turns.reserve(json.size());
    for (const Json& it : json) {
        FinishedTurn turn { it.at(0), it.at(1), it.at(2), it.at(3) };
        if (turn.answerOffset > historySize || turn.answerSize > historySize - turn.answerOffset)
            throw InvalidInputError("journal record", std::to_string(turn.answerOffset), "a place in the history");
        turns.push_back(turn);
    }
    return turns;
}

static Json encodeTools(const std::map<RequestKey, ToolCall>& tools)
{
    Json json = Json::array();
    for (const auto& [key, call] : tools) {
        Json executed = call.executed ? Json(static_cast<int>(*call.executed)) : Json();
        json.push_back({ key.text(), call.tool, call.request.text(), std::move(executed), call.status, bytesToJson(call.body) });
    }
    return json;
}

static std::map<RequestKey, ToolCall> decodeTools(const Json& json)
{
    std::map<RequestKey, ToolCall> tools;
    for (const Json& it : json) {
        ToolCall call { it.at(1), digestFromJson(it.at(2)), std::nullopt, it.at(4), bytesFromJson(it.at(5)) };
        if (!it.at(3).is_null())
            call.executed = enumFromJson(it.at(3), Executed::Unknown);
        tools.emplace(RequestKey(it.at(0)), std::move(call));
    }
    return tools;
}

Json encodeState(const ProgramState& state)
{
    Json json { { "opened", encodeOpened(state.opened) }, { "spent", state.spent }, { "reserved", state.reserved }, { "carved", state.reservedForChildren }, { "children", state.openChildren }, { "turns", state.turns }, { "context", state.contextTokens }, { "history", state.history }, { "chain", state.chain.text() }, { "before", state.chainBeforeLastTurn.text() } };
    json["repeats"] = { state.repeatedTurns.request, state.repeatedTurns.count, state.repeatedTools.request, state.repeatedTools.count };
    json["finished"] = encodeFinishedTurns(state.finishedTurns);
    json["tools"] = encodeTools(state.tools);
    if (state.openTurn)
        json["open"] = encodeTurnStarted(*state.openTurn);
    if (state.closed)
        json["closed"] = { static_cast<int>(*state.closed), timeToJson(state.closedAt) };
    return json;
}

ProgramState decodeState(const Json& json)
{
    ProgramState state;
    state.opened = decodeOpened(json.at("opened"));
    state.spent = json.at("spent");
    state.reserved = json.at("reserved");
    state.reservedForChildren = json.at("carved");
    state.openChildren = json.at("children");
    state.turns = json.at("turns");
    state.contextTokens = json.at("context");
    state.history = json.at("history");
    state.chain = digestFromJson(json.at("chain"));
    state.chainBeforeLastTurn = digestFromJson(json.at("before"));
    const Json& repeats = json.at("repeats");
    state.repeatedTurns = { repeats.at(0), repeats.at(1) };
    state.repeatedTools = { repeats.at(2), repeats.at(3) };
    state.finishedTurns = decodeFinishedTurns(json.at("finished"), state.history.size());
    state.tools = decodeTools(json.at("tools"));
    if (json.contains("open"))
        state.openTurn = decodeTurnStarted(json["open"]);
    if (json.contains("closed")) {
        state.closed = enumFromJson(json["closed"].at(0), CloseReason::HistoryUnavailable);
        state.closedAt = timeFromJson(json["closed"].at(1));
    }
    return state;
}

} // namespace basilpoint
