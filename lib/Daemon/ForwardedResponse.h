#pragma once

#include "basilpoint/Net/HttpServer.h"

#include <string>

namespace basilpoint {

/// Passes an owner's answer on to the caller and keeps what a next owner needs to continue it.
class ForwardedAnswer {
public:
    explicit ForwardedAnswer(ResponseWriter&);

    /// Begins an answer; a second one continues the stream that the first began.
    void onHeader(const HttpResponse&);

    /// Takes the next bytes of the body.
    /// \throws ConnectionLostError if the caller is gone.
    void onBytes(std::string_view);

    /// Takes the whole answer's status, and its body where that is a problem document.
    void finish(const HttpResponse&);

    /// Whether something has gone out to the caller.
    bool started() const { return m_writer.started(); }

    /// Whether the stream's closing event has gone out.
    bool closed() const { return m_closed; }

    /// Changes \p request into one that continues the answer at another owner.
    void resume(HttpRequest& request) const;

private:
    void passEvents();

    ResponseWriter& m_writer;
    HttpHeaders m_headers;
    bool m_streaming = false;
    bool m_closed = false;
    /// Bytes of an event that is not whole yet.
    std::string m_partial;
    /// Events that have gone out.
    std::string m_delivered;
    std::string m_body;
};

} // namespace basilpoint
