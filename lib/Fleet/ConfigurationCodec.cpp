#include "Cbor.h"

#include "basilpoint/Fleet/ConfigurationGossip.h"

namespace basilpoint {

static constexpr auto messageName = "configuration message";

namespace {

    enum class MessageType {
        RevisionDigest,
        BucketHashes,
        Pull,
        Documents,
    };

} // namespace

static Json toJson(const RevisionDigestMessage& message)
{
    Json revisions = Json::object();
    for (const auto& [id, revision] : message.revisions)
        revisions[id.text()] = revision.value();
    return Json::array({ static_cast<unsigned>(MessageType::RevisionDigest), message.from.text(), std::move(revisions), message.summary, message.buckets, message.ready, message.wantsReply, message.reply, message.truncated });
}

static Json toJson(const BucketHashesMessage& message)
{
    return Json::array({ static_cast<unsigned>(MessageType::BucketHashes), message.from.text(), message.hashes });
}

static Json toJson(const PullMessage& message)
{
    Json ids = Json::array();
    for (const EnvironmentId& id : message.environments)
        ids.push_back(id.text());
    return Json::array({ static_cast<unsigned>(MessageType::Pull), message.from.text(), std::move(ids) });
}

static Json toJson(const DocumentsMessage& message)
{
    Json documents = Json::object();
    for (const auto& [id, stored] : message.documents)
        documents[id.text()] = encodeStoredEnvironment(stored);
    return Json::array({ static_cast<unsigned>(MessageType::Documents), message.from.text(), std::move(documents) });
}

static RevisionDigestMessage digestFromJson(InstanceId from, const Json& json)
{
    RevisionDigestMessage message { std::move(from), {}, json.at(3).get<std::uint64_t>(), json.at(4).get<std::vector<EnvironmentBucket>>(), json.at(5).get<bool>(), json.at(6).get<bool>(), json.at(7).get<bool>(), json.at(8).get<bool>() };
    for (const auto& [id, revision] : json.at(2).items())
        message.revisions.emplace(EnvironmentId(id), Revision(revision.get<std::uint64_t>()));
    return message;
}

static PullMessage pullFromJson(InstanceId from, const Json& json)
{
    PullMessage message { std::move(from), {} };
    for (const Json& id : json.at(2))
        message.environments.push_back(textIdFromJson<EnvironmentId>(id));
    return message;
}

static DocumentsMessage documentsFromJson(InstanceId from, const Json& json)
{
    DocumentsMessage message { std::move(from), {} };
    for (const auto& [id, stored] : json.at(2).items())
        message.documents.emplace(EnvironmentId(id), decodeStoredEnvironment(stored.get<std::string>()));
    return message;
}

static ConfigurationMessage messageFromJson(const Json& json)
{
    auto type = enumFromJson(json.at(0), MessageType::Documents, messageName);
    auto from = textIdFromJson<InstanceId>(json.at(1));
    switch (type) {
    case MessageType::RevisionDigest:
        return digestFromJson(from, json);
    case MessageType::BucketHashes:
        return BucketHashesMessage { from, json.at(2).get<std::vector<std::uint64_t>>() };
    case MessageType::Pull:
        return pullFromJson(from, json);
    case MessageType::Documents:
        return documentsFromJson(from, json);
    }
    throw InvalidInputError(messageName, "type", "a known message");
}

std::string encodeConfigurationMessage(const ConfigurationMessage& message)
{
    return toCbor(std::visit([](const auto& it) { return toJson(it); }, message));
}

ConfigurationMessage decodeConfigurationMessage(std::string_view bytes)
{
    return fromCbor(bytes, messageName, messageFromJson);
}

} // namespace basilpoint
