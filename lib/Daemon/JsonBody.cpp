#include "JsonBody.h"

#include "basilpoint/Net/JsonBody.h"

namespace basilpoint {

using Json = nlohmann::json;

static constexpr std::size_t maxKeyLength = 255;
static constexpr std::size_t maxQuotedBytes = 80;

Json parseJsonBody(const HttpRequest& request)
{
    return parseJsonObject(request.body);
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
