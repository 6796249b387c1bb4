#include "StandIn.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/FiberAwait.h"
#include "basilpoint/Support/Hash.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace basilpoint::standin {

using Json = nlohmann::json;

static constexpr std::size_t bytesPerToken = 4;

void sleepFor(boost::asio::io_context& io, Milliseconds delay)
{
    boost::asio::steady_timer timer(io, delay);
    awaitIo([&](auto handler) { timer.async_wait(std::move(handler)); });
}

namespace {

    struct EngineState {
        boost::asio::io_context& io;
        StandInSettings settings;
        std::uint64_t served = 0;
        std::uint64_t running = 0;
        /// Most calls that ran at once.
        std::uint64_t mostRunning = 0;
    };

    struct Completion {
        Json request;
        unsigned tokens = 0;
        std::size_t promptTokens = 0;
        /// Differs for each prompt, so that a caller can tell its own answer.
        std::string label;
        /// Tokens of the answer that the caller sent along to be continued.
        unsigned firstToken = 0;
    };

} // namespace

static std::string tokenText(const Completion& completion, unsigned n)
{
    return fmt::format("{}-{} ", completion.label, n);
}

static Json usageOf(const Completion& completion)
{
    return { { "prompt_tokens", completion.promptTokens }, { "completion_tokens", completion.tokens }, { "total_tokens", completion.promptTokens + completion.tokens } };
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

// Removes a last message that is to be continued, so that the label is that of the whole answer's prompt.
static unsigned takePrefill(Json& request)
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
    completion.request = Json::parse(request.body, nullptr, false);
    if (!completion.request.is_object() || !completion.request.contains("messages"))
        throw InvalidInputError("body", request.body.substr(0, 80), "a chat completion request");
    completion.firstToken = takePrefill(completion.request);
    std::string prompt = completion.request["messages"].dump();
    completion.promptTokens = prompt.size() / bytesPerToken + 1;
    unsigned limit = completion.request.value("max_tokens", state.settings.answerTokens);
    completion.tokens = std::min(limit, state.settings.answerTokens);
    completion.label = fmt::format("{:08x}", static_cast<std::uint32_t>(hash64(prompt)));
    return completion;
}

static void complete(EngineState& state, const HttpRequest& request, ResponseWriter& writer)
{
    Completion completion = readCompletion(state, request);
    ++state.running;
    state.mostRunning = std::max(state.mostRunning, state.running);
    struct Leave {
        ~Leave() { --state.running; }
        EngineState& state;
    } leave { state };
    sleepFor(state.io, state.settings.prefillPerThousand * static_cast<int>(completion.promptTokens) / 1'000);
    if (completion.request.value("stream", false))
        streamCompletion(state, completion, writer);
    else
        sendCompletion(state, completion, writer);
    ++state.served;
}

HttpServer::Handler makeEngine(boost::asio::io_context& io, const StandInSettings& settings)
{
    auto state = std::make_shared<EngineState>(EngineState { io, settings });
    return [state](const HttpRequest& request, ResponseWriter& writer) {
        if (request.method == "POST" && request.path() == "/v1/chat/completions")
            return complete(*state, request, writer);
        if (request.method == "GET" && request.path() == "/load") {
            Json load { { "served", state->served }, { "running", state->running }, { "mostRunning", state->mostRunning } };
            return writer.send({ 200, { { "content-type", "application/json" } }, load.dump() });
        }
        throw RouteNotFoundError(request.method, std::string(request.path()));
    };
}

} // namespace basilpoint::standin
