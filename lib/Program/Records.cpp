#include "basilpoint/Program/Records.h"

#include <nlohmann/json.hpp>

namespace basilpoint {

using Json = nlohmann::json;

static Json timeToJson(WallTimePoint time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

static WallTimePoint timeFromJson(const Json& json)
{
    return WallTimePoint(Milliseconds(json.get<std::int64_t>()));
}

static Json encode(const ProgramOpened& record)
{
    Json json { { "t", "open" }, { "p", record.program.text() }, { "env", record.environment.text() }, { "op", record.owner.text() }, { "key", record.openKey.text() }, { "parent", record.parent.text() }, { "budget", record.budget }, { "at", timeToJson(record.openedAt) } };
    if (record.deadline)
        json["deadline"] = timeToJson(*record.deadline);
    return json;
}

static Json encode(const TurnStarted& record)
{
    return { { "t", "start" }, { "p", record.program.text() }, { "n", record.turn.value() }, { "key", record.key.text() }, { "digest", record.request.text() }, { "messages", record.messages }, { "reserved", record.reserved } };
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
    return { { "t", "outcome" }, { "p", record.program.text() }, { "key", record.key.text() }, { "executed", static_cast<int>(record.executed) }, { "status", record.status }, { "body", Json::binary(std::vector<std::uint8_t>(record.body.begin(), record.body.end())) } };
}

static Json encode(const ProgramClosed& record)
{
    return { { "t", "close" }, { "p", record.program.text() }, { "reason", static_cast<int>(record.reason) } };
}

template <typename Enum>
static Enum enumFromJson(const Json& json, Enum last)
{
    auto n = json.get<int>();
    if (n < 0 || n > static_cast<int>(last))
        throw InvalidInputError("journal record", std::to_string(n), "a known enumerator");
    return static_cast<Enum>(n);
}

static ProgramOpened decodeOpened(const Json& json)
{
    ProgramOpened record { ProgramId(json.at("p")), EnvironmentId(json.at("env")), OperatorId(json.at("op")), RequestKey(json.at("key")), ProgramId(json.at("parent")), json.at("budget"), timeFromJson(json.at("at")), {} };
    if (json.contains("deadline"))
        record.deadline = timeFromJson(json["deadline"]);
    return record;
}

static ProgramRecord decodeJson(const Json& json)
{
    auto type = json.at("t").get<std::string>();
    if (type == "open")
        return decodeOpened(json);
    ProgramId program(json.at("p").get<std::string>());
    if (type == "start")
        return TurnStarted { program, TurnNumber(json.at("n")), RequestKey(json.at("key")), parseDigest(json.at("digest").get<std::string>()), json.at("messages"), json.at("reserved") };
    if (type == "finish")
        return TurnFinished { program, TurnNumber(json.at("n")), json.at("answer"), json.at("used") };
    if (type == "fail")
        return TurnFailed { program, TurnNumber(json.at("n")), json.at("charged") };
    if (type == "intent")
        return IntentRecorded { program, RequestKey(json.at("key")), json.at("tool"), parseDigest(json.at("digest").get<std::string>()) };
    if (type == "outcome") {
        const auto& body = json.at("body").get_binary();
        return OutcomeRecorded { program, RequestKey(json.at("key")), enumFromJson(json.at("executed"), Executed::Unknown), json.at("status"), std::string(body.begin(), body.end()) };
    }
    if (type == "close")
        return ProgramClosed { program, enumFromJson(json.at("reason"), CloseReason::HistoryUnavailable) };
    throw InvalidInputError("journal record", type, "a known record type");
}

const ProgramId& programOf(const ProgramRecord& record)
{
    return std::visit([](const auto& it) -> const ProgramId& { return it.program; }, record);
}

std::string encodeRecord(const ProgramRecord& record)
{
    std::string buf;
    Json::to_cbor(std::visit([](const auto& it) { return encode(it); }, record), buf);
    return buf;
}

ProgramRecord decodeRecord(std::string_view bytes)
{
    try {
        return decodeJson(Json::from_cbor(bytes));
    } catch (const Json::exception&) {
        throw InvalidInputError("journal record", std::to_string(bytes.size()) + " bytes", "CBOR of a known record type");
    }
}

} // namespace basilpoint
