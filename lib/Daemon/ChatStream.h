#pragma once

#include "basilpoint/Support/Ids.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace basilpoint {

/// Parses a streamed chat completion and assembles the assistant's message from its chunks.
class ChatStream {
public:
    /// Parses the next bytes of the body.
    /// \throws InvalidInputError if an event is not a chat completion chunk or a line is longer than 1 MiB.
    void feed(std::string_view bytes);

    /// Whether the closing event was received.
    bool done() const { return m_done; }

    /// Content received so far.
    const std::string& content() const { return m_content; }

    /// The assistant's message as JSON, with \p content and the tool calls of this stream. \p content may include
    /// content of earlier attempts.
    std::string messageWith(const std::string& content) const;

    /// Input and output tokens as counted by the engine; empty if it did not report them.
    std::optional<TokenCount> totalTokens() const { return m_totalTokens; }

    /// Number of chunks with content; an estimate of the output tokens.
    std::size_t contentParts() const { return m_contentParts; }

    const std::string& finishReason() const { return m_finishReason; }

private:
    struct ToolCallPart {
        std::string id;
        std::string name;
        std::string arguments;
    };

    void handleEvent(std::string_view data);

    std::string m_line;
    std::string m_content;
    std::map<int, ToolCallPart> m_toolCalls;
    std::string m_finishReason;
    std::optional<TokenCount> m_totalTokens;
    std::size_t m_contentParts = 0;
    bool m_done = false;
};

} // namespace basilpoint
