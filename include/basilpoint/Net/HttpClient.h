#pragma once

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/HttpTypes.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace basilpoint {

/// Options of one request.
struct HttpCallOptions {
    Milliseconds connectTimeout { 2'000 };
    /// Longest wait for progress in sending the request or receiving the response.
    Milliseconds readTimeout { 60'000 };
    std::size_t maxBodyBytes = 16 * 1024 * 1024;
    /// Whether an idle kept-alive connection may be used. If the target closes it while the request is sent,
    /// the client cannot tell whether the target ran the request. So set this only for requests that may be sent
    /// twice, or together with \ref resendOnStale = false.
    bool reuseConnection = true;
    /// Sends the request again on a new connection if a kept-alive connection fails before the first byte of the response.
    bool resendOnStale = true;
    /// Time at which the call fails regardless of progress; none if empty.
    std::optional<TimePoint> deadline = std::nullopt;
    /// Connections are reused only by calls of the same group. Keeps calls to a restarted target off the
    /// connections to its previous process at the same address.
    std::string group {};
    /// Whether a response belongs to the request; other responses are read and discarded. If empty, all belong.
    std::function<bool(const HttpResponse&)> matchesRequest = nullptr;
    /// Whether the connection may be used again after a response; if empty, it may.
    std::function<bool(const HttpResponse&)> keepsConnection = nullptr;
    /// Body to send in place of that of the request; must outlive the call.
    std::optional<std::string_view> body = std::nullopt;
    /// Called with the status and headers of the response before its body is read, if set.
    std::function<void(const HttpResponse&)> onHeader = nullptr;
};

/// Lets another fiber abort a call.
class HttpCancellation {
public:
    /// Aborts the call, now or as soon as it has a connection.
    void cancel();
    bool isCancelled() const { return m_cancelled; }

private:
    friend class HttpClient;
    bool m_cancelled = false;
    std::function<void()> m_close;
};

/// HTTP/1.1 client that keeps idle connections per target for reuse. Calls suspend the calling fiber.
class HttpClient {
public:
    /// Receives each part of a streamed body. An exception that it throws aborts the call.
    using ChunkHandler = std::function<void(std::string_view)>;

    explicit HttpClient(boost::asio::io_context&);
    ~HttpClient();

    /// Sends \p request and waits for the complete response.
    /// \throws TargetError, with executed No only if no byte was sent.
    HttpResponse call(const Endpoint&, const HttpRequest& request, const HttpCallOptions& = {});

    /// Sends \p request and passes the body of a response with status 200 to \p onChunk as it arrives.
    /// Only a response with another status has its body in the result.
    /// \throws TargetError as call() does, and if the body is incomplete.
    HttpResponse stream(const Endpoint&, const HttpRequest& request, const ChunkHandler& onChunk, const HttpCallOptions& = {}, HttpCancellation* = nullptr);

    /// Opens a connection and closes it again. \returns why none was established; empty if it was.
    std::optional<TargetFailure> probe(const Endpoint&, Milliseconds timeout);

    /// Opens a connection and keeps it idle for calls of \p group. \returns why none was established; empty if it was.
    std::optional<TargetFailure> openIdle(const Endpoint&, const std::string& group, Milliseconds timeout);

    /// Whether an idle connection can be reused by calls of \p group.
    bool hasIdle(const Endpoint&, const std::string& group) const;

    /// Closes the idle connections of \p group.
    void closeIdle(const std::string& group);

    /// Number of connection attempts so far.
    std::uint64_t connectionsOpened() const;

private:
    struct Connection;
    struct State;

    std::unique_ptr<Connection> connect(const Endpoint&, const HttpCallOptions&);
    std::unique_ptr<Connection> takeIdle(const Endpoint&, const std::string& group);
    void keepIdle(std::unique_ptr<Connection>, const Endpoint&, const std::string& group);
    void send(Connection&, const Endpoint&, const HttpRequest&, const HttpCallOptions&);
    HttpResponse readResponse(Connection&, const Endpoint&, bool isHead, const ChunkHandler&, const HttpCallOptions&, bool& isStale);

    std::unique_ptr<State> m_state;
};

} // namespace basilpoint
