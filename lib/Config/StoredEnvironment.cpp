#include "basilpoint/Config/Environment.h"
#include "basilpoint/Support/Error.h"

#include <nlohmann/json.hpp>

namespace basilpoint {

using Json = nlohmann::json;

const std::string environmentKeyPrefix = "/basilpoint/environments/";

static constexpr std::size_t excerptLength = 80;

std::string environmentKey(const EnvironmentId& id)
{
    return environmentKeyPrefix + id.text();
}

std::string encodeStoredEnvironment(const StoredEnvironment& stored)
{
    Json json { { "revision", stored.revision.value() }, { "document", stored.document }, { "writeId", stored.writeId }, { "action", stored.action } };
    if (!stored.trialDocument.empty())
        json["trial"] = stored.trialDocument;
    return json.dump();
}

StoredEnvironment decodeStoredEnvironment(const std::string& text)
{
    try {
        Json json = Json::parse(text);
        return { Revision(json.at("revision").get<std::uint64_t>()), json.at("document").get<std::string>(), json.value("trial", ""), json.value("writeId", ""), json.value("action", "") };
    } catch (const Json::exception&) {
        std::string excerpt = Json(text.substr(0, excerptLength)).dump(-1, ' ', true, Json::error_handler_t::replace);
        throw InvalidInputError("stored environment", excerpt, "revision and document");
    }
}

} // namespace basilpoint
