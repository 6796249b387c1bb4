#include "JsonBody.h"

namespace basilpoint {

using Json = nlohmann::json;

static constexpr std::size_t maxKeyLength = 255;
static constexpr std::size_t maxQuotedBytes = 80;

Json parseJsonBody(const HttpRequest& request)
{
    Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object())
        throw InvalidInputError("body", request.body.substr(0, maxQuotedBytes), "a JSON object");
    return body;
}

RequestKey idempotencyKeyOf(const HttpRequest& request)
{
    std::string_view text = request.header("idempotency-key");
    if (text.size() > maxKeyLength)
        throw InvalidInputError("Idempotency-Key", std::string(text.substr(0, maxQuotedBytes)), "at most 255 bytes");
    return RequestKey(std::string(text));
}

void sendJson(ResponseWriter& writer, int status, const Json& json)
{
    writer.send({ status, { { "content-type", "application/json" } }, json.dump(-1, ' ', false, Json::error_handler_t::replace) });
}

} // namespace basilpoint
