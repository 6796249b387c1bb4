#pragma once

#include "basilpoint/Net/HttpServer.h"

#include <optional>
#include <string>

namespace basilpoint {

/// Forwards an owner's response to the caller and keeps what another owner needs to continue it.
class ForwardedResponse {
public:
    explicit ForwardedResponse(ResponseWriter&);

    /// Starts a response. A later call is the response of another owner, which continues the caller's stream.
    void onHeader(const HttpResponse&);

    /// Handles the next bytes of the body.
    /// \throws ConnectionLostError if the caller disconnected.
    void onBytes(std::string_view);

    /// Ends the stream, or sends a response that was not streamed. With a status other than 200, its body is in
    /// \p response.
    void finish(const HttpResponse& response);

    /// Whether anything was sent to the caller.
    bool started() const { return m_writer.started(); }

    /// Whether the stream's closing event was sent.
    bool closed() const { return m_closed; }

    /// Changes \p request so that another owner continues the response after the content that was sent.
    void resume(HttpRequest& request);

private:
    void forwardCompleteEvents();

    ResponseWriter& m_writer;
    HttpHeaders m_headers;
    bool m_streaming = false;
    bool m_closed = false;
    /// Bytes of an event that is not complete yet.
    std::string m_incompleteEvent;
    /// Events that were sent.
    std::string m_delivered;
    std::string m_body;
    /// Offset from which the caller asked for the answer.
    std::optional<std::size_t> m_callerOffset;
};

} // namespace basilpoint
