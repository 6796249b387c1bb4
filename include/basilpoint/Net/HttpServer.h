#pragma once

#include "basilpoint/Net/HttpTypes.h"
#include "basilpoint/Net/MemoryBudget.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string_view>

namespace basilpoint {

/// Sends the response to one request, complete or as a stream of chunks.
class ResponseWriter {
public:
    virtual ~ResponseWriter() = default;

    /// Sends a complete response. At most once, and not after begin().
    /// \throws ConnectionLostError if the caller has disconnected or the write timeout passes.
    virtual void send(const HttpResponse&) = 0;

    /// Sends the status and headers of a streamed response.
    /// \throws ConnectionLostError as send() does.
    virtual void begin(int status, const HttpHeaders&) = 0;

    /// Sends one chunk of a streamed response; suspends the fiber while the caller reads slowly.
    /// \throws ConnectionLostError as send() does.
    virtual void write(std::string_view chunk) = 0;

    /// Ends a streamed response.
    /// \throws ConnectionLostError as send() does.
    virtual void end() = 0;

    /// Whether send() or begin() was called.
    virtual bool started() const = 0;

    /// Calls \p onDisconnect once if the caller closes its connection before the response is complete.
    virtual void notifyOnDisconnect(const std::function<void()>& onDisconnect) { static_cast<void>(onDisconnect); }
};

/// HTTP/1.1 server with one fiber per connection.
class HttpServer {
public:
    /// Called in the connection's fiber. Must send a response; an Error that it throws before is sent as a problem document.
    using Handler = std::function<void(const HttpRequest&, ResponseWriter&)>;

    /// Creates the response to a request whose body there is no memory for. \p head has no body.
    using NoMemoryHandler = std::function<HttpResponse(const HttpRequest& head)>;

    /// Binds the listening socket; port 0 picks a free port.
    /// \throws ListenError if the address cannot be bound.
    HttpServer(boost::asio::io_context&, const Endpoint&, HttpLimits, Handler);
    ~HttpServer();

    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Starts accepting connections; returns immediately.
    void start();

    /// Sends `Connection: close` in every response from now on, but continues to accept connections.
    void announceClose();

    /// Copies of a body that a process holds at a time: of the request, of the record, and while that is written.
    static constexpr std::size_t copiesOfBody = 4;

    /// Makes bodies of requests be read only if they fit into \p budget, which must outlive the server's connections.
    void setMemory(MemoryBudget& budget, NoMemoryHandler);

    /// Called with what a handler has thrown that is no Error. Its caller gets the status 500, or a broken stream.
    using FaultHandler = std::function<void(const HttpRequest&, std::string_view what)>;
    void onFault(FaultHandler);

    /// Stops accepting and closes idle connections; active requests continue.
    void stop();

    /// Sets the limits for requests that are read from now on.
    void setLimits(const HttpLimits&);

    /// Bound address and port.
    Endpoint endpoint() const;

    /// Number of requests whose first byte has arrived and whose response is not complete.
    std::size_t activeRequests() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace basilpoint
