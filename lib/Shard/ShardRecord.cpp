#include "basilpoint/Shard/Types.h"

#include <nlohmann/json.hpp>

namespace basilpoint {

using Json = nlohmann::json;

std::string encodeShardRecord(const ShardRecord& record)
{
    Json holders = Json::array();
    for (const HolderId& holder : record.holders)
        holders.push_back(holder.text());
    return Json { { "epoch", record.epoch.value() }, { "owner", record.owner.text() }, { "holders", holders }, { "writeId", record.writeId }, { "lostThrough", record.lostThrough.value() } }.dump();
}

ShardRecord decodeShardRecord(const std::string& text)
{
    try {
        Json json = Json::parse(text);
        ShardRecord record;
        record.epoch = Epoch(json.at("epoch").get<std::uint64_t>());
        record.owner = InstanceId(json.at("owner").get<std::string>());
        for (const Json& holder : json.at("holders"))
            record.holders.emplace_back(holder.get<std::string>());
        record.writeId = json.at("writeId").get<std::string>();
        record.lostThrough = Epoch(json.at("lostThrough").get<std::uint64_t>());
        return record;
    } catch (const Json::exception&) {
        throw InvalidInputError("shard record", text, "JSON of a shard record");
    }
}

std::string shardRecordKey(ShardId shard)
{
    return "basilpoint/shards/" + std::to_string(shard.value());
}

} // namespace basilpoint
