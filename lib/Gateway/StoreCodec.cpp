#include "StoreCodec.h"

#include "basilpoint/Support/Cbor.h"

namespace basilpoint {

using Json = nlohmann::json;

template <typename Read>
static auto decode(const std::string& bytes, Read read)
{
    try {
        return read(parseCbor(bytes));
    } catch (const Json::exception&) {
        throw KeyValueUnavailableError("message of another shape between daemons");
    }
}

static Json itemsToJson(const std::vector<KeyValue>& items)
{
    Json json = Json::array();
    for (const KeyValue& it : items)
        json.push_back({ it.key, bytesToJson(it.value), it.modRevision });
    return json;
}

static std::vector<KeyValue> itemsFrom(const Json& json)
{
    std::vector<KeyValue> items;
    for (const Json& it : json)
        items.push_back({ it.at(0).get<std::string>(), bytesFromJson(it.at(1)), it.at(2).get<std::int64_t>() });
    return items;
}

std::string encodeTransaction(const KeyTransaction& transaction)
{
    Json json { { "c", Json::array() }, { "p", Json::array() }, { "d", transaction.deletes } };
    for (const auto& it : transaction.conditions)
        json["c"].push_back({ it.key, it.revision });
    for (const auto& it : transaction.puts)
        json["p"].push_back({ it.key, bytesToJson(it.value) });
    return toCbor(json);
}

KeyTransaction decodeTransaction(const std::string& bytes)
{
    return decode(bytes, [](const Json& json) {
        KeyTransaction transaction;
        for (const Json& it : json.at("c"))
            transaction.conditions.push_back({ it.at(0).get<std::string>(), it.at(1).get<std::int64_t>() });
        for (const Json& it : json.at("p"))
            transaction.puts.push_back({ it.at(0).get<std::string>(), bytesFromJson(it.at(1)) });
        transaction.deletes = json.at("d").get<std::vector<std::string>>();
        return transaction;
    });
}

std::string encodeResult(const KeyTransactionResult& result)
{
    return toCbor({ { "r", result.revision.value_or(0) }, { "i", itemsToJson(result.current) } });
}

KeyTransactionResult decodeResult(const std::string& bytes)
{
    return decode(bytes, [](const Json& json) {
        auto revision = json.at("r").get<std::int64_t>();
        return KeyTransactionResult { revision == 0 ? std::nullopt : std::optional(revision), itemsFrom(json.at("i")) };
    });
}

std::string encodeSnapshot(const KeySnapshot& snapshot)
{
    return toCbor({ { "r", snapshot.revision }, { "i", itemsToJson(snapshot.items) } });
}

KeySnapshot decodeSnapshot(const std::string& bytes)
{
    return decode(bytes, [](const Json& json) {
        return KeySnapshot { itemsFrom(json.at("i")), json.at("r").get<std::int64_t>() };
    });
}

std::string encodeQuery(const StoreQuery& query)
{
    return toCbor({ { "k", query.key }, { "s", query.mayBeStale }, { "a", query.after }, { "w", query.wait.count() } });
}

StoreQuery decodeQuery(const std::string& bytes)
{
    return decode(bytes, [](const Json& json) {
        return StoreQuery { json.at("k").get<std::string>(), json.at("s").get<bool>(), json.at("a").get<std::int64_t>(), Milliseconds(json.at("w").get<std::int64_t>()) };
    });
}

std::string encodeChanges(const StoreChanges& changes)
{
    return toCbor({ { "n", changes.next }, { "i", itemsToJson(changes.items) } });
}

StoreChanges decodeChanges(const std::string& bytes)
{
    return decode(bytes, [](const Json& json) {
        return StoreChanges { itemsFrom(json.at("i")), json.at("n").get<std::int64_t>() };
    });
}

std::vector<StoredRecord> recordsFrom(const std::vector<KeyValue>& items)
{
    std::vector<StoredRecord> records;
    records.reserve(items.size());
    for (const KeyValue& it : items)
        records.push_back({ it.key, it.value, it.modRevision });
    return records;
}

std::string encodeHandover(const Handover& handover)
{
    Json accounts = Json::array();
    for (const KnownAccount& it : handover.accounts)
        accounts.push_back({ it.program.text(), it.record.key, bytesToJson(it.record.value), it.record.revision });
    return toCbor({ { "d", handover.daemon }, { "a", std::move(accounts) }, { "w", handover.knowsAllChanges } });
}

Handover decodeHandover(const std::string& bytes)
{
    return decode(bytes, [](const Json& json) {
        Handover handover { json.at("d").get<std::string>(), {}, json.at("w").get<bool>() };
        for (const Json& it : json.at("a"))
            handover.accounts.push_back({ ProgramId(it.at(0).get<std::string>()), { it.at(1).get<std::string>(), bytesFromJson(it.at(2)), it.at(3).get<std::int64_t>() } });
        return handover;
    });
}

std::string encodeRelease(const HoldRelease& release)
{
    return toCbor({ { "d", release.daemon.text() }, { "r", release.isReleased } });
}

HoldRelease decodeRelease(const std::string& bytes)
{
    return decode(bytes, [](const Json& json) {
        return HoldRelease { DaemonLifetime(json.at("d").get<std::string>()), json.at("r").get<bool>() };
    });
}

std::string encodeAttestation(const AccountAttestation& attestation)
{
    std::vector<KeyValue> items;
    items.reserve(attestation.records.size());
    for (const StoredRecord& it : attestation.records)
        items.push_back({ it.key, it.value, it.revision });
    return toCbor({ { "i", itemsToJson(items) }, { "c", attestation.unconfirmedTokens }, { "w", attestation.isComplete }, { "f", attestation.hasNoChanges }, { "b", attestation.isCompleteWithKeepers } });
}

AccountAttestation decodeAttestation(const std::string& bytes)
{
    return decode(bytes, [](const Json& json) {
        return AccountAttestation { recordsFrom(itemsFrom(json.at("i"))), json.at("c").get<TokenCount>(), json.at("w").get<bool>(), json.at("f").get<bool>(), json.at("b").get<bool>() };
    });
}

} // namespace basilpoint
