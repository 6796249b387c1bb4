#include "ChatStream.h"

#include "basilpoint/Support/Error.h"

#include <nlohmann/json.hpp>

namespace basilpoint {

using Json = nlohmann::json;

static constexpr std::size_t maxEventBytes = 1024 * 1024;
static constexpr std::string_view dataPrefix = "data:";
static constexpr std::string_view closingData = "[DONE]";

void ChatStream::feed(std::string_view bytes)
{
    for (;;) {
        auto end = bytes.find('\n');
        m_line.append(bytes.substr(0, end));
        if (m_line.size() > maxEventBytes)
            throw InvalidInputError("engine event", std::to_string(m_line.size()) + " bytes", "at most 1 MiB");
        if (end == std::string_view::npos)
            return;
        bytes.remove_prefix(end + 1);
        if (!m_line.empty() && m_line.back() == '\r')
            m_line.pop_back();
        std::string line = std::exchange(m_line, {});
        if (!line.starts_with(dataPrefix))
            continue;
        std::string_view data = std::string_view(line).substr(dataPrefix.size());
        data.remove_prefix(std::min(data.find_first_not_of(' '), data.size()));
        handleEvent(data);
    }
}

void ChatStream::handleEvent(std::string_view data)
{
    if (m_done)
        return;
    if (data == closingData) {
        m_done = true;
        return;
    }
    Json event = Json::parse(data, nullptr, false);
    if (!event.is_object())
        throw InvalidInputError("engine event", std::string(data.substr(0, 80)), "a JSON object");
    try {
        if (event.contains("usage") && event["usage"].is_object())
            m_totalTokens = event["usage"].at("total_tokens").get<TokenCount>();
        for (const Json& choice : event.value("choices", Json::array())) {
            if (choice.contains("finish_reason") && choice["finish_reason"].is_string())
                m_finishReason = choice["finish_reason"].get<std::string>();
            const Json delta = choice.value("delta", Json::object());
            if (delta.contains("content") && delta["content"].is_string()) {
                m_content += delta["content"].get<std::string>();
                ++m_contentParts;
            }
            for (const Json& call : delta.value("tool_calls", Json::array())) {
                ToolCallPart& part = m_toolCalls[call.value("index", 0)];
                const Json function = call.value("function", Json::object());
                part.id += call.value("id", "");
                part.name += function.value("name", "");
                part.arguments += function.value("arguments", "");
            }
        }
    } catch (const Json::exception&) {
        throw InvalidInputError("engine event", std::string(data.substr(0, 80)), "a chat completion chunk");
    }
}

std::string ChatStream::messageWith(const std::string& content) const
{
    Json message { { "role", "assistant" }, { "content", content } };
    for (const auto& [index, part] : m_toolCalls)
        message["tool_calls"].push_back({ { "id", part.id }, { "type", "function" }, { "function", { { "name", part.name }, { "arguments", part.arguments } } } });
    return message.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace basilpoint
