#pragma once

#include "basilpoint/Support/Ids.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace basilpoint {

/// Reads a streamed chat completion and assembles the assistant's message from its parts.
class ChatStream {
public:
    /// Takes the next bytes of the body.
    /// \throws InvalidInputError if an event is not JSON or too long.
    void feed(std::string_view bytes);

    /// Whether the closing event came.
    bool done() const { return m_done; }

    /// Content that came so far.
    const std::string& content() const { return m_content; }

    /// JSON object: the assistant's message with \p content, which may hold more than came here.
    std::string messageWith(const std::string& content) const;

    /// Tokens as the engine counted them, input and output; empty if it did not say.
    std::optional<TokenCount> totalTokens() const { return m_totalTokens; }

    /// Number of content parts that came.
    std::size_t parts() const { return m_parts; }

    const std::string& finishReason() const { return m_finishReason; }

private:
    struct ToolCallPart {
        std::string id;
        std::string name;
        std::string arguments;
    };

    void takeEvent(std::string_view data);

    std::string m_line;
    std::string m_content;
    std::map<int, ToolCallPart> m_toolCalls;
    std::string m_finishReason;
    std::optional<TokenCount> m_totalTokens;
    std::size_t m_parts = 0;
    bool m_done = false;
};

} // namespace basilpoint
