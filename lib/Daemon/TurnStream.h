#pragma once

#include "basilpoint/Net/FiberSignal.h"

#include <exception>
#include <string>
#include <string_view>

namespace basilpoint {

/// Answer of one model call while it comes in; any number of callers read along at their own pace.
///
/// Content is addressed by its byte offset, which is also the id of the events that callers get.
class TurnStream {
public:
    explicit TurnStream(std::string resumedContent)
        : m_content(std::move(resumedContent))
    {
    }

    void append(std::string_view content);

    /// The answer is whole and journalled. \p message is the assistant's message as JSON.
    void finish(std::string message);

    void fail(std::exception_ptr);

    /// Suspends until there is content beyond \p offset or the stream has ended.
    /// \returns the content beyond \p offset, empty at the end.
    /// \throws what fail() was given, once all content was returned.
    std::string waitBeyond(std::size_t offset);

    /// Suspends until the stream has ended. \throws what fail() was given.
    const std::string& waitForMessage();

    const std::string& content() const { return m_content; }
    bool ended() const { return m_ended; }

private:
    std::string m_content;
    std::string m_message;
    std::exception_ptr m_failure;
    bool m_ended = false;
    FiberSignal m_changed;
};

} // namespace basilpoint
