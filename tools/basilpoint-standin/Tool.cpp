#include "StandIn.h"

#include "basilpoint/Net/Errors.h"

#include <map>
#include <nlohmann/json.hpp>

namespace basilpoint::standin {

using Json = nlohmann::json;

static constexpr Milliseconds hangTime { 24 * 3'600'000 };
static constexpr std::string_view callsPath = "/calls/";

namespace {

    struct ToolState {
        boost::asio::io_context& io;
        StandInSettings settings;
        /// Number of effects by idempotency key; more than one means that the call ran repeatedly.
        std::map<std::string, std::uint64_t> effects;
        /// Last answer by idempotency key.
        std::map<std::string, Json> lastAnswers;
        unsigned callsToHang = 0;
        unsigned answersToLose = 0;
    };

} // namespace

static bool decrementIfPositive(unsigned& count)
{
    if (count == 0)
        return false;
    --count;
    return true;
}

static void runCall(ToolState& state, const HttpRequest& request, ResponseWriter& writer)
{
    if (decrementIfPositive(state.callsToHang))
        sleepFor(state.io, hangTime);
    std::string key(request.header("idempotency-key"));
    sleepFor(state.io, state.settings.toolDelay);
    std::uint64_t count = ++state.effects[key];
    Json answer { { "key", key }, { "effects", count }, { "echo", Json::parse(request.body, nullptr, false) } };
    state.lastAnswers[key] = answer;
    if (decrementIfPositive(state.answersToLose))
        throw ConnectionLostError("answer lost after the effect");
    sendJson(writer, answer);
}

static void sendCallResult(const ToolState& state, const HttpRequest& request, ResponseWriter& writer)
{
    auto it = state.lastAnswers.find(std::string(request.path().substr(callsPath.size())));
    if (it == state.lastAnswers.end())
        throw RouteNotFoundError(request.method, std::string(request.path()));
    sendJson(writer, it->second);
}

static void setFaults(ToolState& state, const Json& fault)
{
    state.callsToHang = fault.value("hang", state.callsToHang);
    state.answersToLose = fault.value("loseAnswers", state.answersToLose);
}

HttpServer::Handler makeTool(boost::asio::io_context& io, const StandInSettings& settings)
{
    auto state = std::make_shared<ToolState>(ToolState { io, settings, {}, {}, 0, 0 });
    return withTypedErrors([state](const HttpRequest& request, ResponseWriter& writer) {
        std::string_view path = request.path();
        if (request.method == "POST" && path == "/standin/fault") {
            setFaults(*state, parseJsonObject(request.body));
            return sendJson(writer, Json::object());
        }
        if (request.method == "POST")
            return runCall(*state, request, writer);
        if (request.method == "GET" && path == "/effects")
            return sendJson(writer, state->effects);
        if (request.method == "GET" && path.starts_with(callsPath))
            return sendCallResult(*state, request, writer);
        throw RouteNotFoundError(request.method, std::string(path));
    });
}

} // namespace basilpoint::standin
