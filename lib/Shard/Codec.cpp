#include "basilpoint/Shard/JournalHolder.h"
#include "basilpoint/Support/Cbor.h"

namespace basilpoint {

using Json = nlohmann::json;

static Json toJson(const std::vector<std::string>& entries)
{
    Json json = Json::array();
    for (const std::string& entry : entries)
        json.push_back(bytesToJson(entry));
    return json;
}

static std::vector<std::string> entriesFromJson(const Json& json)
{
    std::vector<std::string> entries;
    entries.reserve(json.size());
    for (const Json& it : json)
        entries.push_back(bytesFromJson(it));
    return entries;
}

static Json toJson(const OwnerTag& tag)
{
    return Json::array({ tag.epoch.value(), tag.owner.text() });
}

static OwnerTag tagFromJson(const Json& json)
{
    return { Epoch(json.at(0).get<std::uint64_t>()), InstanceId(json.at(1).get<std::string>()) };
}

static Json toJson(const LogVersion& version)
{
    return Json::array({ toJson(version.tag), version.syncNumber });
}

static LogVersion versionFromJson(const Json& json)
{
    return { tagFromJson(json.at(0)), json.at(1).get<std::uint64_t>() };
}

static Json toJson(const HolderSet& holders)
{
    Json json = Json::array();
    for (const HolderId& holder : holders)
        json.push_back(holder.text());
    return json;
}

static HolderSet holdersFromJson(const Json& json)
{
    HolderSet holders;
    for (const Json& it : json)
        holders.emplace_back(it.get<std::string>());
    return holders;
}

static Json toJson(const std::set<HolderSet>& pairs)
{
    Json json = Json::array();
    for (const HolderSet& pair : pairs)
        json.push_back(toJson(pair));
    return json;
}

static std::set<HolderSet> pairsFromJson(const Json& json)
{
    std::set<HolderSet> pairs;
    for (const Json& it : json)
        pairs.insert(holdersFromJson(it));
    return pairs;
}

static Json encode(const SealRequest& request)
{
    return { { "t", "seal" }, { "tag", toJson(request.tag) } };
}

static Json encode(const ReadRequest& request)
{
    return { { "t", "read" }, { "tag", toJson(request.tag) }, { "from", request.from } };
}

static Json encode(const SyncRequest& request)
{
    return { { "t", "sync" }, { "tag", toJson(request.tag) }, { "pos", toJson(request.version) }, { "keep", request.keep }, { "from", request.from }, { "e", toJson(request.entries) }, { "pairs", toJson(request.pairs) }, { "only", request.replacesPairs }, { "last", request.last } };
}

static Json encode(const AppendRequest& request)
{
    return { { "t", "append" }, { "pos", toJson(request.version) }, { "i", request.index }, { "e", toJson(request.entries) } };
}

static Json encode(const AddPairRequest& request)
{
    return { { "t", "mark" }, { "tag", toJson(request.tag) }, { "pair", toJson(request.pair) } };
}

static HolderRequest requestFromJson(const Json& json)
{
    auto type = json.at("t").get<std::string>();
    if (type == "seal")
        return SealRequest { tagFromJson(json.at("tag")) };
    if (type == "read")
        return ReadRequest { tagFromJson(json.at("tag")), json.at("from").get<std::uint64_t>() };
    if (type == "sync")
        return SyncRequest { tagFromJson(json.at("tag")), versionFromJson(json.at("pos")), json.at("keep").get<std::uint64_t>(), json.at("from").get<std::uint64_t>(), entriesFromJson(json.at("e")), pairsFromJson(json.at("pairs")), json.at("only").get<bool>(), json.at("last").get<bool>() };
    if (type == "append")
        return AppendRequest { versionFromJson(json.at("pos")), json.at("i").get<std::uint64_t>(), entriesFromJson(json.at("e")) };
    if (type == "mark")
        return AddPairRequest { tagFromJson(json.at("tag")), holdersFromJson(json.at("pair")) };
    throw InvalidInputError("holder request", type, "a known request type");
}

template <typename Decode>
static auto fromBytes(const char* field, std::string_view bytes, Decode decode)
{
    try {
        return decode(parseCbor(bytes));
    } catch (const Json::exception&) {
        throw InvalidInputError(field, std::to_string(bytes.size()) + " bytes", "CBOR of the documented shape");
    }
}

std::string encodeHolderRequest(ShardId shard, const HolderRequest& request)
{
    Json json = std::visit([](const auto& it) { return encode(it); }, request);
    json["s"] = shard.value();
    return toCbor(json);
}

std::pair<ShardId, HolderRequest> decodeHolderRequest(std::string_view bytes)
{
    return fromBytes("holder request", bytes, [](const Json& json) {
        return std::pair(ShardId(json.at("s").get<std::uint64_t>()), requestFromJson(json));
    });
}

std::string encodeHolderReply(const HolderReply& reply)
{
    return toCbor({ { "ok", reply.accepted }, { "high", toJson(reply.highest) }, { "member", reply.initialized }, { "pos", toJson(reply.version) }, { "len", reply.length }, { "pairs", toJson(reply.pairs) }, { "e", toJson(reply.entries) } });
}

HolderReply decodeHolderReply(std::string_view bytes)
{
    return fromBytes("holder reply", bytes, [](const Json& json) {
        return HolderReply { json.at("ok").get<bool>(), tagFromJson(json.at("high")), json.at("member").get<bool>(), versionFromJson(json.at("pos")), json.at("len").get<std::uint64_t>(), pairsFromJson(json.at("pairs")), entriesFromJson(json.at("e")) };
    });
}

std::string encodeStorageOp(const StorageOp& op)
{
    Json json { { "s", op.shard.value() }, { "seal", toJson(op.seal) }, { "member", op.initialized }, { "pos", toJson(op.version) }, { "pairs", toJson(op.pairs) }, { "e", toJson(op.entries) } };
    if (op.truncateTo)
        json["cut"] = *op.truncateTo;
    return toCbor(json);
}

StorageOp decodeStorageOp(std::string_view bytes)
{
    return fromBytes("storage operation", bytes, [](const Json& json) {
        StorageOp op { ShardId(json.at("s").get<std::uint64_t>()), tagFromJson(json.at("seal")), json.at("member").get<bool>(), versionFromJson(json.at("pos")), pairsFromJson(json.at("pairs")), {}, entriesFromJson(json.at("e")) };
        if (json.contains("cut"))
            op.truncateTo = json["cut"].get<std::uint64_t>();
        return op;
    });
}

} // namespace basilpoint
