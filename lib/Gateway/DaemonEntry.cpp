#include "DaemonEntry.h"

#include <nlohmann/json.hpp>

namespace basilpoint {

using Json = nlohmann::json;

std::string encodeEntry(const DaemonEntry& entry)
{
    const RelayAddress& address = entry.address;
    Json json { { "address", address.endpoint.text() }, { "dataCentre", address.dataCentre.text() }, { "keeper", address.isKeeper }, { "left", entry.hasHandedOver }, { "attests", entry.mayAttest } };
    if (entry.hasDirectCommit)
        json["bypassed"] = true;
    return json.dump();
}

std::optional<DaemonEntry> decodeDaemonEntry(const KeyValue& item)
{
    if (!item.key.starts_with(DaemonEntry::prefix))
        return std::nullopt;
    std::string instance = item.key.substr(DaemonEntry::keyOf({}).size());
    try {
        Json json = Json::parse(item.value);
        DaemonEntry entry;
        entry.address = { instance, DataCentreId(json.at("dataCentre").get<std::string>()), parseEndpoint("address", json.at("address").get<std::string>()), json.at("keeper").get<bool>() };
        entry.hasHandedOver = json.value("left", false);
        entry.mayAttest = json.value("attests", true);
        // Earlier releases recorded the time of day instead.
        entry.hasDirectCommit = json.value("bypassed", false) || json.contains("bypassedAt");
        return entry;
    } catch (const Json::exception&) {
        // Skipped; the log line about the list counts the daemons that it names.
        return std::nullopt;
    } catch (const InvalidInputError&) {
        return std::nullopt;
    }
}

// How long ago an earlier lifetime committed directly is not known, since the time of day may have jumped. So the mark is
// carried over until a lifetime has run for long enough to remove it. An entry that cannot be decoded may have had one.
DaemonEntry successorOf(const std::optional<DaemonEntry>& before, bool isReadable, RelayAddress self)
{
    DaemonEntry entry { std::move(self) };
    entry.mayAttest = !before || before->mayAttest;
    entry.hasDirectCommit = !isReadable || (before && before->hasDirectCommit);
    return entry;
}

} // namespace basilpoint
