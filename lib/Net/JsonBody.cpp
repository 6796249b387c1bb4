#include "basilpoint/Net/JsonBody.h"

#include "basilpoint/Support/Error.h"

#include <nlohmann/json.hpp>

namespace basilpoint {

using Json = nlohmann::json;

static constexpr int maxDepth = 64;
static constexpr std::size_t excerptLength = 80;

Json parseJsonObject(const std::string& body)
{
    auto checkDepth = [](int depth, Json::parse_event_t, const Json&) {
        if (depth > maxDepth)
            throw InvalidInputError("body", "nesting", "at most 64 levels");
        return true;
    };
    Json json = Json::parse(body, checkDepth, false);
    if (!json.is_object())
        throw InvalidInputError("body", body.substr(0, excerptLength), "a JSON object");
    return json;
}

} // namespace basilpoint
