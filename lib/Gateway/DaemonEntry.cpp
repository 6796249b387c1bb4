#include "DaemonEntry.h"

#include "basilpoint/Gateway/CommitTracker.h"

#include <nlohmann/json.hpp>

namespace basilpoint {

using Json = nlohmann::json;

// For clocks of instances that differ, and for changes that a mark made up to 30 s before stands for.
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
        // It names no daemon; the list's log line counts those that it does name.
        return std::nullopt;
    } catch (const InvalidInputError&) {
        return std::nullopt;
    }
}

bool hasDirectCommit(const DaemonEntry& entry, WallTimePoint now)
{
    return entry.directCommitAt && now - *entry.directCommitAt < CommitTracker::longestRetention + directCommitMargin;
}

// The mark must outlast lifetimes that end before it matters no more. An entry that can't be read may have borne one.
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
