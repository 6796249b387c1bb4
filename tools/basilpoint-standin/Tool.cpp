#include "StandIn.h"

#include "basilpoint/Net/Errors.h"

#include <map>
#include <nlohmann/json.hpp>

namespace basilpoint::standin {

using Json = nlohmann::json;

namespace {

    struct ToolState {
        boost::asio::io_context& io;
        StandInSettings settings;
        /// Effects by idempotency key; more than one is a doubled effect.
        std::map<std::string, std::uint64_t> effects;
    };

} // namespace

static void runCall(ToolState& state, const HttpRequest& request, ResponseWriter& writer)
{
    std::string key(request.header("idempotency-key"));
    sleepFor(state.io, state.settings.toolDelay);
    std::uint64_t count = ++state.effects[key];
    Json answer { { "key", key }, { "effects", count }, { "echo", Json::parse(request.body, nullptr, false) } };
    writer.send({ 200, { { "content-type", "application/json" } }, answer.dump(-1, ' ', false, Json::error_handler_t::replace) });
}

HttpServer::Handler makeTool(boost::asio::io_context& io, const StandInSettings& settings)
{
    auto state = std::make_shared<ToolState>(ToolState { io, settings, {} });
    return [state](const HttpRequest& request, ResponseWriter& writer) {
        if (request.method == "POST")
            return runCall(*state, request, writer);
        if (request.method == "GET" && request.path() == "/effects")
            return writer.send({ 200, { { "content-type", "application/json" } }, Json(state->effects).dump() });
        throw RouteNotFoundError(request.method, std::string(request.path()));
    };
}

} // namespace basilpoint::standin
