#pragma once

#include "basilpoint/Net/FiberSignal.h"

#include <exception>
#include <string>
#include <string_view>

namespace basilpoint {

/// Answer of a running model call. Any number of callers can read it, each at its own pace.
///
/// Readers address the content by byte offset, which is also the id of the events sent to callers.
class TurnStream {
public:
    explicit TurnStream(std::string resumedContent)
        : m_content(std::move(resumedContent))
    {
    }

    void append(std::string_view content);

    /// Ends the stream. The answer is complete and in the journal; \p message is the assistant's message as JSON.
    void finish(std::string message);

    void fail(std::exception_ptr);

    /// Suspends until there is content after \p offset or the stream has ended.
    /// \returns the content after \p offset; empty at the end.
    /// \throws the exception passed to fail(), after all content was returned.
    std::string waitForContentAfter(std::size_t offset);

    /// Suspends until the stream has ended. \throws the exception passed to fail().
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
