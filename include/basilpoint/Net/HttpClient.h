#pragma once

#include "basilpoint/Net/HttpTypes.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace basilpoint {

/// How a client deals with one request.
struct HttpCallOptions {
    Milliseconds connectTimeout { 2'000 };
    /// Longest silence of the target before the call fails.
    Milliseconds readTimeout { 60'000 };
    std::size_t maxBodyBytes = 16 * 1024 * 1024;
    /// Kept-alive connections are used only if the request may be sent twice or \ref resendOnStale is
    /// off: one that closes as the request goes out leaves open whether the target has run it.
    bool reuseConnection = true;
    /// Sends the request once more, on a new connection, if a kept-alive one turns out to be closed.
    bool resendOnStale = true;
    /// Moment at which the call ends whatever happens; none if empty.
    std::optional<TimePoint> deadline = std::nullopt;
    /// Connections are shared only among calls of one group. Tells lifetimes of a target at one address apart.
    std::string group {};
    /// Tells whether an answer belongs to the request; one that does not is read and dropped. Empty: all do.
    std::function<bool(const HttpResponse&)> matchesRequest = nullptr;
    /// Receives status and headers of the answer before its body, if set.
    std::function<void(const HttpResponse&)> onHeader = nullptr;
};

/// Handle by which another fiber ends a call early.
class HttpCancellation {
public:
    /// Closes the connection of the call, now or as soon as it has one.
    void cancel();

private:
    friend class HttpClient;
    bool m_cancelled = false;
    std::function<void()> m_close;
};

/// HTTP/1.1 client that keeps connections by target. Calls suspend the calling fiber.
class HttpClient {
public:
    /// Receives each piece of a streamed body. An exception that it throws ends the call.
    using ChunkHandler = std::function<void(std::string_view)>;

    explicit HttpClient(boost::asio::io_context&);
    ~HttpClient();

    /// Sends \p request and waits for the whole answer.
    /// \throws TargetError with executed No only if no byte was sent.
    HttpResponse call(const Endpoint&, const HttpRequest& request, const HttpCallOptions& = {});

    /// Sends \p request and passes the body on as it comes; the result's body is empty for status 200.
    /// \throws TargetError as call() does, and if the body breaks off.
    HttpResponse stream(const Endpoint&, const HttpRequest& request, const ChunkHandler& onChunk, const HttpCallOptions& = {}, HttpCancellation* = nullptr);

    /// Closes the idle connections of \p group.
    void closeIdle(const std::string& group);

    /// Connections opened so far.
    std::uint64_t connectionsOpened() const;

private:
    struct Connection;
    struct State;

    std::unique_ptr<Connection> connect(const Endpoint&, const HttpCallOptions&);
    std::unique_ptr<Connection> takeIdle(const Endpoint&, const std::string& group);
    void keepIdle(std::unique_ptr<Connection>, const Endpoint&, const std::string& group);
    void send(Connection&, const Endpoint&, const HttpRequest&, const HttpCallOptions&);
    HttpResponse exchange(Connection&, const Endpoint&, const ChunkHandler&, const HttpCallOptions&, bool& isStale);

    std::unique_ptr<State> m_state;
};

} // namespace basilpoint
