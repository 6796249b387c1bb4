#include "EngineState.h"
#include "StandIn.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Support/Hash.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace basilpoint::standin {

using Json = nlohmann::json;

static constexpr std::size_t bytesPerToken = 4;
static constexpr std::size_t maxStoredOrders = 1'000;
static constexpr int crashExitStatus = 70;
static constexpr int statusConflict = 409;

namespace {

    class StaleFencingNumberError final : public Error {
    public:
        StaleFencingNumberError(std::uint64_t given, std::uint64_t highest)
            : Error({ "old-fencing-number", statusConflict, Executed::No }, { { "fencing", std::to_string(given) }, { "highest", std::to_string(highest) } })
        {
        }
    };

    struct Completion {
        Json request;
        unsigned tokens = 0;
        std::size_t promptTokens = 0;
        /// Prompt tokens that were found in the prompt cache.
        std::size_t cachedTokens = 0;
        /// Hash of the prompt, by which a caller recognises the answer to its own prompt.
        std::string label;
        /// Index of the first token to generate: the number of tokens in the partial answer to continue.
        unsigned firstToken = 0;
    };

} // namespace

static std::string tokenText(const Completion& completion, unsigned n)
{
    return fmt::format("{}-{} ", completion.label, n);
}

static Json usageOf(const Completion& completion)
{
    return { { "prompt_tokens", completion.promptTokens }, { "completion_tokens", completion.tokens }, { "total_tokens", completion.promptTokens + completion.tokens }, { "prompt_tokens_details", { { "cached_tokens", completion.cachedTokens } } } };
}

static Json chunkOf(const Completion& completion, const Json& delta, const Json& finish)
{
    return { { "object", "chat.completion.chunk" }, { "model", completion.request.value("model", "") }, { "choices", Json::array({ { { "index", 0 }, { "delta", delta }, { "finish_reason", finish } } }) } };
}

static void streamCompletion(EngineState& state, const Completion& completion, ResponseWriter& writer)
{
    writer.begin(200, { { "content-type", "text/event-stream" } });
    for (unsigned n = completion.firstToken; n < completion.tokens; ++n) {
        if (n > completion.firstToken && state.settings.perToken.count() > 0)
            sleepFor(state.io, state.settings.perToken);
        writer.write("data: " + chunkOf(completion, { { "role", "assistant" }, { "content", tokenText(completion, n) } }, nullptr).dump() + "\n\n");
    }
    Json last = chunkOf(completion, Json::object(), "stop");
    last["usage"] = usageOf(completion);
    writer.write("data: " + last.dump() + "\n\n");
    writer.write("data: [DONE]\n\n");
    writer.end();
}

static void sendCompletion(EngineState& state, const Completion& completion, ResponseWriter& writer)
{
    std::string text;
    for (unsigned n = completion.firstToken; n < completion.tokens; ++n)
        text += tokenText(completion, n);
    sleepFor(state.io, state.settings.perToken * completion.tokens);
    Json answer { { "object", "chat.completion" }, { "model", completion.request.value("model", "") }, { "usage", usageOf(completion) } };
    answer["choices"] = Json::array({ { { "index", 0 }, { "message", { { "role", "assistant" }, { "content", text } } }, { "finish_reason", "stop" } } });
    writer.send({ 200, { { "content-type", "application/json" } }, answer.dump() });
}

// Removes a partial answer that the request asks to continue, so that the label is the same as for the
// prompt without it. Returns the number of its tokens, each of which ends in a space.
static unsigned removePrefill(Json& request)
{
    Json& messages = request["messages"];
    if (!request.value("continue_final_message", false) || messages.empty())
        return 0;
    auto content = messages.back().value("content", "");
    messages.erase(messages.size() - 1);
    return static_cast<unsigned>(std::count(content.begin(), content.end(), ' '));
}

static Completion readCompletion(const EngineState& state, const HttpRequest& request)
{
    Completion completion;
    completion.request = parseJsonObject(request.body);
    if (!completion.request.contains("messages"))
        throw InvalidInputError("body", request.body.substr(0, 80), "a chat completion request");
    completion.firstToken = removePrefill(completion.request);
    std::string prompt = completion.request["messages"].dump();
    completion.promptTokens = prompt.size() / bytesPerToken + 1;
    unsigned limit = completion.request.value("max_tokens", state.settings.answerTokens);
    completion.tokens = std::min(limit, state.settings.answerTokens);
    completion.label = fmt::format("{:08x}", static_cast<std::uint32_t>(hash64(prompt)));
    return completion;
}

static void complete(EngineState& state, const HttpRequest& request, ResponseWriter& writer)
{
    if (!state.settings.crashOn.empty() && request.body.find(state.settings.crashOn) != std::string::npos)
        exitProcess(crashExitStatus);
    Completion completion = readCompletion(state, request);
    std::string program(request.header("basilpoint-program"));
    completion.cachedTokens = std::min(state.cache.update(program, completion.promptTokens + completion.tokens), completion.promptTokens);
    state.beginCall();
    struct CallEnd {
        ~CallEnd() { state.endCall(); }
        EngineState& state;
    } callEnd { state };
    sleepFor(state.io, state.settings.prefillPerThousand * static_cast<int>(completion.promptTokens - completion.cachedTokens) / 1'000);
    try {
        if (completion.request.value("stream", false))
            streamCompletion(state, completion, writer);
        else
            sendCompletion(state, completion, writer);
    } catch (const ConnectionLostError&) {
        ++state.cancelled;
        throw;
    }
    ++state.served;
}

static void acceptOrder(EngineState& state, const HttpRequest& request, ResponseWriter& writer)
{
    Json order = parseJsonObject(request.body);
    auto fencing = order.at("fencing").get<std::uint64_t>();
    if (state.settings.honoursFencing && fencing < state.highestFencing)
        throw StaleFencingNumberError(fencing, state.highestFencing);
    state.highestFencing = std::max(state.highestFencing, fencing);
    if (order.at("kind") == "release")
        state.cache.evict(order.at("program").get<std::string>());
    state.orders.push_back(order);
    if (state.orders.size() > maxStoredOrders)
        state.orders.erase(state.orders.begin());
    sendJson(writer, { { "taken", true } });
}

HttpServer::Handler makeEngine(boost::asio::io_context& io, const Clock& clock, const StandInSettings& settings)
{
    auto state = std::make_shared<EngineState>(io, clock, settings);
    return withTypedErrors([state](const HttpRequest& request, ResponseWriter& writer) {
        std::string_view path = request.path();
        if (request.method == "POST" && path == "/v1/chat/completions")
            return complete(*state, request, writer);
        if (request.method == "POST" && path == "/orders")
            return acceptOrder(*state, request, writer);
        if (request.method == "GET" && path == "/orders")
            return sendJson(writer, state->orders);
        if (request.method == "GET" && path == "/cache")
            return sendJson(writer, state->cache.programs());
        if (request.method == "GET" && path == "/load")
            return sendJson(writer, state->laggingLoad.at(state->clock.now()));
        if (request.method == "POST" && path == "/standin/fault") {
            state->isLeaving = parseJsonObject(request.body).value("leaving", state->isLeaving);
            state->recordLoad();
            return sendJson(writer, Json::object());
        }
        throw RouteNotFoundError(request.method, std::string(path));
    });
}

} // namespace basilpoint::standin
