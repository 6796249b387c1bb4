#include "basilpoint/Turns/TurnRecord.h"

#include "RecordCodec.h"

namespace basilpoint {

using Json = nlohmann::json;

DamagedRecordError::DamagedRecordError(const std::string& what)
    : Error({ "damaged-record", 500, Executed::No }, { { "record", what } })
{
}

TokenCount ProgramAccount::held() const
{
    TokenCount total = 0;
    for (const auto& [daemon, hold] : holds)
        total += hold.tokens;
    return total;
}

TokenCount ProgramAccount::remaining() const
{
    if (budget == unlimited)
        return unlimited;
    TokenCount used = spent + held() + grantReserve;
    return used >= budget ? 0 : budget - used;
}

std::string encodeTurn(const TurnRecord& record)
{
    return toCbor({ { "t", record.turn.text() }, { "p", record.previous.text() }, { "i", bytesToJson(record.input) }, { "o", bytesToJson(record.output) }, { "a", record.target.text() } });
}

TurnRecord decodeTurn(const std::string& bytes)
{
    return readRecord("turn", bytes, [&](const Json& json) {
        return TurnRecord { CallId(json.at("t").get<std::string>()), CallId(json.at("p").get<std::string>()), bytesFromJson(json.at("i")), bytesFromJson(json.at("o")), TargetId(json.at("a").get<std::string>()) };
    });
}

std::string encodeAccount(const ProgramAccount& account)
{
    Json holds = Json::object();
    for (const auto& [daemon, hold] : account.holds)
        holds[daemon.text()] = { hold.tokens, hold.step };
    return toCbor({ { "b", account.budget }, { "s", account.spent }, { "h", holds }, { "k", millisecondsOf(account.keepUntil) }, { "z", account.commitDataCentre.text() }, { "r", account.grantReserve } });
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
        account.commitDataCentre = DataCentreId(json.at("z").get<std::string>());
        // Earlier releases reserve nothing.
        account.grantReserve = json.value("r", TokenCount(0));
        return account;
    });
}

} // namespace basilpoint
