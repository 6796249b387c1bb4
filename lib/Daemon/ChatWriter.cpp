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

// Cuts \p content so that no UTF-8 sequence is split between two events.
static std::size_t wholeCharacters(std::string_view content)
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

static std::string eventOf(const ChatAnswerForm& form, std::size_t offset, const Json& delta, const Json& finishReason)
{
    Json choice { { "index", 0 }, { "delta", delta }, { "finish_reason", finishReason } };
    Json chunk { { "object", "chat.completion.chunk" }, { "model", form.model }, { "choices", Json::array({ std::move(choice) }) } };
    return fmt::format("id: {}\ndata: {}\n\n", offset, dumpJson(chunk));
}

// A stream that another daemon began goes on.
static void beginStream(ResponseWriter& writer)
{
    if (writer.started())
        return;
    writer.begin(statusOk, { { "content-type", "text/event-stream" }, { "cache-control", "no-store" } });
}

static void endStream(ResponseWriter& writer, const ChatAnswerForm& form, std::size_t offset, const Json& message)
{
    Json delta = Json::object();
    if (message.contains("tool_calls")) {
        // Tool calls go out whole, so that an interrupted caller never has half of one.
        delta["tool_calls"] = message["tool_calls"];
        for (std::size_t n = 0; n < delta["tool_calls"].size(); ++n)
            delta["tool_calls"][n]["index"] = n;
    }
    writer.write(eventOf(form, offset, delta, finishReasonOf(message)) + closingEvent);
    writer.end();
}

static void sendPlain(ResponseWriter& writer, const ChatAnswerForm& form, const Json& message)
{
    Json choice { { "index", 0 }, { "message", message }, { "finish_reason", finishReasonOf(message) } };
    Json answer { { "object", "chat.completion" }, { "model", form.model }, { "choices", Json::array({ std::move(choice) }) } };
    writer.send({ statusOk, { { "content-type", "application/json" } }, dumpJson(answer) });
}

void sendRunningTurn(ResponseWriter& writer, const ChatAnswerForm& form, TurnStream& turn)
{
    if (!form.stream)
        return sendPlain(writer, form, Json::parse(turn.waitForMessage()));
    std::size_t offset = form.offset;
    for (;;) {
        std::string content = turn.waitBeyond(offset);
        if (content.empty())
            break;
        std::size_t n = turn.ended() ? content.size() : wholeCharacters(content);
        beginStream(writer);
        if (n == 0) {
            sleepFiber(Milliseconds(1));
            continue;
        }
        offset += n;
        writer.write(eventOf(form, offset, { { "role", "assistant" }, { "content", content.substr(0, n) } }, nullptr));
    }
    beginStream(writer);
    endStream(writer, form, offset, Json::parse(turn.waitForMessage()));
}

void sendFinishedTurn(ResponseWriter& writer, const ChatAnswerForm& form, const std::string& message)
{
    Json json = Json::parse(message);
    if (!form.stream)
        return sendPlain(writer, form, json);
    std::string content = contentOf(json);
    beginStream(writer);
    if (content.size() > form.offset)
        writer.write(eventOf(form, content.size(), { { "role", "assistant" }, { "content", content.substr(form.offset) } }, nullptr));
    endStream(writer, form, content.size(), json);
}

} // namespace basilpoint
