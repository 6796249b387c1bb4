#include "basilpoint/Program/Records.h"

#include "StateCodec.h"

#include "basilpoint/Support/Cbor.h"

#include <nlohmann/json.hpp>

namespace basilpoint {

using Json = nlohmann::json;

static Json encode(const ProgramOpened& record)
{
    Json json = encodeOpened(record);
    json["t"] = "open";
    return json;
}

static Json encode(const TurnStarted& record)
{
    Json json = encodeTurnStarted(record);
    json["t"] = "start";
    return json;
}

static Json encode(const TurnFinished& record)
{
    return { { "t", "finish" }, { "p", record.program.text() }, { "n", record.turn.value() }, { "answer", record.answer }, { "used", record.used } };
}

static Json encode(const TurnFailed& record)
{
    return { { "t", "fail" }, { "p", record.program.text() }, { "n", record.turn.value() }, { "charged", record.charged } };
}

static Json encode(const IntentRecorded& record)
{
    return { { "t", "intent" }, { "p", record.program.text() }, { "key", record.key.text() }, { "tool", record.tool }, { "digest", record.request.text() } };
}

static Json encode(const OutcomeRecorded& record)
{
    return { { "t", "outcome" }, { "p", record.program.text() }, { "key", record.key.text() }, { "executed", static_cast<int>(record.executed) }, { "status", record.status }, { "body", bytesToJson(record.body) } };
}

static Json encode(const ProgramClosed& record)
{
    return { { "t", "close" }, { "p", record.program.text() }, { "reason", static_cast<int>(record.reason) }, { "at", timeToJson(record.closedAt) } };
}

static Json encode(const ProgramForgotten& record)
{
    return { { "t", "forget" }, { "p", record.program.text() }, { "scope", static_cast<int>(record.scope) } };
}

static Json encode(const ProgramSnapshot& record)
{
    return { { "t", "state" }, { "p", record.program.text() }, { "state", encodeState(record.state) } };
}

static ProgramRecord decodeJson(const Json& json)
{
    auto type = json.at("t").get<std::string>();
    if (type == "open")
        return decodeOpened(json);
    ProgramId program(json.at("p").get<std::string>());
    if (type == "start")
        return decodeTurnStarted(json);
    if (type == "finish")
        return TurnFinished { program, TurnNumber(json.at("n")), json.at("answer"), json.at("used") };
    if (type == "fail")
        return TurnFailed { program, TurnNumber(json.at("n")), json.at("charged") };
    if (type == "intent")
        return IntentRecorded { program, RequestKey(json.at("key")), json.at("tool"), parseDigest(json.at("digest").get<std::string>()) };
    if (type == "outcome")
        return OutcomeRecorded { program, RequestKey(json.at("key")), enumFromJson(json.at("executed"), Executed::Unknown), json.at("status"), bytesFromJson(json.at("body")) };
    if (type == "close")
        return ProgramClosed { program, enumFromJson(json.at("reason"), CloseReason::HistoryUnavailable), timeFromJson(json.at("at")) };
    if (type == "forget")
        return ProgramForgotten { program, enumFromJson(json.at("scope"), ForgetScope::Everything) };
    if (type == "state")
        return ProgramSnapshot { program, decodeState(json.at("state")) };
    throw InvalidInputError("journal record", type, "a known record type");
}

const ProgramId& programOf(const ProgramRecord& record)
{
    return std::visit([](const auto& it) -> const ProgramId& { return it.program; }, record);
}

std::string encodeRecord(const ProgramRecord& record)
{
    return toCbor(std::visit([](const auto& it) { return encode(it); }, record));
}

ProgramRecord decodeRecord(std::string_view bytes)
{
    try {
        return decodeJson(parseCbor(bytes));
    } catch (const Json::exception&) {
        throw InvalidInputError("journal record", std::to_string(bytes.size()) + " bytes", "CBOR of a known record type");
    }
}

} // namespace basilpoint
