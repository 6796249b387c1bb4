#pragma once

#include "basilpoint/Net/HttpTypes.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace basilpoint {

/// Answers one request: whole, or as a stream of chunks.
class ResponseWriter {
public:
    virtual ~ResponseWriter() = default;

    /// Sends a whole answer. At most once, and not after begin().
    /// \throws ConnectionLostError if the caller is gone.
    virtual void send(const HttpResponse&) = 0;

    /// Sends status and headers of a streamed answer.
    /// \throws ConnectionLostError if the caller is gone.
    virtual void begin(int status, const HttpHeaders&) = 0;

    /// Sends one piece of a streamed answer; suspends the fiber while the caller reads slowly.
    /// \throws ConnectionLostError if the caller is gone or takes longer than the write timeout.
    virtual void write(std::string_view chunk) = 0;

    /// Ends a streamed answer.
    virtual void end() = 0;

    /// Whether send() or begin() was called.
    virtual bool started() const = 0;

    /// Calls \p onGone once if the caller closes its connection before the answer has ended.
    virtual void notifyOnDisconnect(const std::function<void()>& onGone) { static_cast<void>(onGone); }
};

/// Listener for HTTP/1.1 with one fiber per connection.
class HttpServer {
public:
    /// Called in the connection's fiber. Must answer; a typed error that leaves it becomes a problem document.
    using Handler = std::function<void(const HttpRequest&, ResponseWriter&)>;

    /// Binds at once; port 0 takes a free port.
    /// \throws ListenError if the address cannot be bound.
    HttpServer(boost::asio::io_context&, const Endpoint&, HttpLimits, Handler);
    ~HttpServer();

    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Starts accepting; returns at once.
    void start();

    /// Announces the close in every answer from now on, and goes on accepting.
    void announceClose();

    /// Accepts nothing more and closes idle connections; requests under way go on.
    void stop();

    /// Replaces the limits for requests that are read from now on.
    void setLimits(const HttpLimits&);

    /// Address with the port that was bound.
    Endpoint endpoint() const;

    /// Requests from their first byte to the end of their answer.
    std::size_t activeRequests() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace basilpoint
