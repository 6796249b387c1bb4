#include "ChatWriter.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace basilpoint {

using Json = nlohmann::json;

static constexpr int statusOk = 200;
static constexpr auto closingEvent = "data: [DONE]\n\n";

static std::string dumpJson(const Json& json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

static std::string finishReasonOf(const Json& message)
{
    return message.contains("tool_calls") ? "tool_calls" : "stop";
}

static std::string contentOf(const Json& message)
{
    auto it = message.find("content");
    return it != message.end() && it->is_string() ? it->get<std::string>() : std::string();
}

// Returns the length of \p content without a UTF-8 sequence that is incomplete at its end.
static std::size_t completeUtf8Length(std::string_view content)
{
    std::size_t n = content.size();
    std::size_t tail = 0;
    while (tail < 3 && tail < n && (static_cast<unsigned char>(content[n - 1 - tail]) & 0xC0) == 0x80)
        ++tail;
    if (tail == n)
        return n;
    auto lead = static_cast<unsigned char>(content[n - 1 - tail]);
    std::size_t length = lead >= 0xF0 ? 4 : lead >= 0xE0 ? 3
        : lead >= 0xC0                                   ? 2
                                                         : 1;
    return length > tail + 1 ? n - 1 - tail : n;
}

static std::string makeEvent(const ChatResponseFormat& format, std::size_t offset, const Json& delta, const Json& finishReason)
{
    Json choice { { "index", 0 }, { "delta", delta }, { "finish_reason", finishReason } };
    Json chunk { { "object", "chat.completion.chunk" }, { "model", format.model }, { "choices", Json::array({ std::move(choice) }) } };
    return fmt::format("id: {}\ndata: {}\n\n", offset, dumpJson(chunk));
}

// Does nothing if another daemon has already started the stream, which is then continued.
static void beginStream(ResponseWriter& writer)
{
    if (writer.started())
        return;
    writer.begin(statusOk, { { "content-type", "text/event-stream" }, { "cache-control", "no-store" } });
}

static void endStream(ResponseWriter& writer, const ChatResponseFormat& format, std::size_t offset, const Json& message)
{
    Json delta = Json::object();
    if (message.contains("tool_calls")) {
        // Tool calls are sent in one event, so that an interrupted stream never contains a partial one.
        delta["tool_calls"] = message["tool_calls"];
        for (std::size_t n = 0; n < delta["tool_calls"].size(); ++n)
            delta["tool_calls"][n]["index"] = n;
    }
    writer.write(makeEvent(format, offset, delta, finishReasonOf(message)) + closingEvent);
    writer.end();
}

static void sendPlain(ResponseWriter& writer, const ChatResponseFormat& format, const Json& message)
{
    Json choice { { "index", 0 }, { "message", message }, { "finish_reason", finishReasonOf(message) } };
    Json answer { { "object", "chat.completion" }, { "model", format.model }, { "choices", Json::array({ std::move(choice) }) } };
    writer.send({ statusOk, { { "content-type", "application/json" } }, dumpJson(answer) });
}

void sendRunningTurn(ResponseWriter& writer, const ChatResponseFormat& format, TurnStream& turn)
{
    if (!format.stream)
        return sendPlain(writer, format, Json::parse(turn.waitForMessage()));
    std::size_t offset = format.offset;
    for (;;) {
        std::string content = turn.waitForContentAfter(offset);
        if (content.empty())
            break;
        std::size_t n = turn.ended() ? content.size() : completeUtf8Length(content);
        beginStream(writer);
        if (n == 0) {
            sleepFiber(Milliseconds(1));
            continue;
        }
        offset += n;
        writer.write(makeEvent(format, offset, { { "role", "assistant" }, { "content", content.substr(0, n) } }, nullptr));
    }
    beginStream(writer);
    endStream(writer, format, offset, Json::parse(turn.waitForMessage()));
}

void sendFinishedTurn(ResponseWriter& writer, const ChatResponseFormat& format, const std::string& message)
{
    Json json = Json::parse(message);
    if (!format.stream)
        return sendPlain(writer, format, json);
    std::string content = contentOf(json);
    beginStream(writer);
    if (content.size() > format.offset)
        writer.write(makeEvent(format, content.size(), { { "role", "assistant" }, { "content", content.substr(format.offset) } }, nullptr));
    endStream(writer, format, content.size(), json);
}

} // namespace basilpoint
