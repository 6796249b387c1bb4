#include "StandIn.h"

#include "basilpoint/Net/Errors.h"

#include <nlohmann/json.hpp>

namespace basilpoint::standin {

using Json = nlohmann::json;

static Json validatedInstances(const Json& body)
{
    for (const Json& instance : body.at("instances")) {
        bool isValid = instance.at("address").is_string() && (instance.at("state") == "live" || instance.at("state") == "leaving");
        if (!isValid)
            throw InvalidInputError("instance", instance.dump(), "address, and state live or leaving");
    }
    return body;
}

HttpServer::Handler makePlatform(const Clock& clock, const StandInSettings& settings)
{
    auto list = std::make_shared<LaggingValue<Json>>(settings.lag);
    list->set({ { "instances", Json::array() } }, clock.now());
    return withTypedErrors([list, &clock](const HttpRequest& request, ResponseWriter& writer) {
        if (request.method == "GET" && request.path() == "/instances")
            return sendJson(writer, list->at(clock.now()));
        if (request.method == "POST" && request.path() == "/standin/instances") {
            list->set(validatedInstances(parseJsonObject(request.body)), clock.now());
            return sendJson(writer, Json::object());
        }
        throw RouteNotFoundError(request.method, std::string(request.path()));
    });
}

} // namespace basilpoint::standin
