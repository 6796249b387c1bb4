#include "basilpoint/Turns/TurnRecord.h"

#include "basilpoint/Turns/Errors.h"

#include <nlohmann/json.hpp>

namespace basilpoint {

using Json = nlohmann::json;

DamagedRecordError::DamagedRecordError(const std::string& what)
    : Error({ "damaged-record", 500, Executed::No }, { { "record", what } })
{
}

TokenCount ProgramAccount::remaining() const
{
    if (budget == unlimited)
        return unlimited;
    TokenCount used = spent;
    for (const auto& [daemon, hold] : holds)
        used += hold.tokens;
    return used >= budget ? 0 : budget - used;
}

static Json binary(const std::string& bytes)
{
    return Json::binary({ bytes.begin(), bytes.end() });
}

static std::string textOf(const Json& json)
{
    const auto& bytes = json.get_binary();
    return { bytes.begin(), bytes.end() };
}

static std::string toBytes(const Json& json)
{
    auto bytes = Json::to_cbor(json);
    return { bytes.begin(), bytes.end() };
}

template <typename Read>
static auto readRecord(const char* what, const std::string& bytes, Read read)
{
    try {
        return read(Json::from_cbor(bytes));
    } catch (const Json::exception&) {
        throw DamagedRecordError(what);
    }
}

std::string encodeTurn(const TurnRecord& record)
{
    return toBytes({ { "t", record.turn.text() }, { "p", record.previous.text() }, { "i", binary(record.input) }, { "o", binary(record.output) }, { "a", record.target.text() } });
}

TurnRecord decodeTurn(const std::string& bytes)
{
    return readRecord("turn", bytes, [&](const Json& json) {
        return TurnRecord { CallId(json.at("t").get<std::string>()), CallId(json.at("p").get<std::string>()), textOf(json.at("i")), textOf(json.at("o")), TargetId(json.at("a").get<std::string>()) };
    });
}

std::string encodeAccount(const ProgramAccount& account)
{
    Json holds = Json::object();
    for (const auto& [daemon, hold] : account.holds)
        holds[daemon.text()] = { hold.tokens, hold.step };
    auto keepUntil = std::chrono::duration_cast<Milliseconds>(account.keepUntil.time_since_epoch()).count();
    return toBytes({ { "b", account.budget }, { "s", account.spent }, { "h", holds }, { "k", keepUntil } });
}

ProgramAccount decodeAccount(const std::string& bytes)
{
    return readRecord("account", bytes, [&](const Json& json) {
        ProgramAccount account;
        account.budget = json.at("b").get<TokenCount>();
        account.spent = json.at("s").get<TokenCount>();
        for (const auto& [daemon, hold] : json.at("h").items())
            account.holds[DaemonLifetime(daemon)] = { hold.at(0).get<TokenCount>(), hold.at(1).get<std::uint64_t>() };
        account.keepUntil = WallTimePoint(Milliseconds(json.at("k").get<std::int64_t>()));
        return account;
    });
}

} // namespace basilpoint
