#include "DaemonEntry.h"

#include "basilpoint/Gateway/CommitTracker.h"

#include <nlohmann/json.hpp>

namespace basilpoint {

using Json = nlohmann::json;

// Allows for clock differences between instances and for direct commits up to 30 s after the timestamp, which do not
// update it.
static constexpr std::chrono::seconds directCommitMargin { 60 };

static std::int64_t millisecondsOf(WallTimePoint time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

std::string encodeEntry(const DaemonEntry& entry)
{
    const RelayAddress& address = entry.address;
    Json json { { "address", address.endpoint.text() }, { "dataCentre", address.dataCentre.text() }, { "keeper", address.isKeeper }, { "left", entry.hasHandedOver } };
    if (entry.directCommitAt)
        json["bypassedAt"] = millisecondsOf(*entry.directCommitAt);
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
        if (json.contains("bypassedAt"))
            entry.directCommitAt = WallTimePoint(Milliseconds(json["bypassedAt"].get<std::int64_t>()));
        return entry;
    } catch (const Json::exception&) {
        // Skipped; the log line about the list counts the daemons that it names.
        return std::nullopt;
    } catch (const InvalidInputError&) {
        return std::nullopt;
    }
}

bool hasDirectCommit(const DaemonEntry& entry, WallTimePoint now)
{
    return entry.directCommitAt && now - *entry.directCommitAt < CommitTracker::longestRetention + directCommitMargin;
}

// The timestamp is carried over to later lifetimes until it expires. An entry that cannot be decoded may have had one.
DaemonEntry successorOf(const std::optional<DaemonEntry>& before, bool isReadable, RelayAddress self, WallTimePoint now)
{
    DaemonEntry entry { std::move(self) };
    if (!isReadable)
        entry.directCommitAt = now;
    else if (before && hasDirectCommit(*before, now))
        entry.directCommitAt = before->directCommitAt;
    return entry;
}

} // namespace basilpoint
