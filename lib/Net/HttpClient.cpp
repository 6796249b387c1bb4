#include "basilpoint/Net/HttpClient.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/FiberAwait.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <charconv>
#include <fmt/format.h>
#include <map>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <vector>

namespace basilpoint {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

static constexpr std::size_t maxIdlePerTarget = 64;
static constexpr std::size_t streamBufferBytes = 16 * 1024;
// Input that the parser cannot consume yet, such as a chunk header or trailers, for which it has no limit.
static constexpr std::size_t maxUnparsedBytes = 64 * 1024;
// Answers of other requests and interim answers that one call discards.
static constexpr unsigned maxDiscardedAnswers = 16;
static constexpr int firstStatus = 100;
static constexpr int statusSwitchingProtocols = 101;
static constexpr int firstFinalStatus = 200;
static constexpr int lastStatus = 599;
// An idle connection is not reused in the last part of the target's keep-alive timeout, so that a request does not race
// with the target's close.
static constexpr Milliseconds idleMargin { 500 };
// Keep-alive timeout of targets that do not state one.
static constexpr Milliseconds defaultIdleLimit { 4'000 };
// Keep-alive probes of connections on which nothing arrives. Several must stay unanswered: a sound target may be silent for
// a second or so.
static constexpr int keepAliveIdleSeconds = 2;
static constexpr int keepAliveIntervalSeconds = 1;
static constexpr int keepAliveProbes = 3;
// TCP_USER_TIMEOUT: closes a connection whose peer stops acknowledging data, which nothing else reports. It also ends the
// probes, whatever their number, so it must leave time for all of them.
static constexpr unsigned tcpUserTimeoutMilliseconds = 1'000 * (keepAliveIdleSeconds + keepAliveProbes * keepAliveIntervalSeconds);

struct HttpClient::Connection {
    explicit Connection(asio::io_context& io)
        : stream(io)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer { maxUnparsedBytes };
    TimePoint connectedAt;
    TimePoint idleUntil = TimePoint::max();
};

struct HttpClient::State {
    using Key = std::pair<std::string, Endpoint>;

    explicit State(asio::io_context& context)
        : io(context)
    {
    }

    asio::io_context& io;
    std::map<Key, std::vector<std::unique_ptr<Connection>>> idle;
    std::uint64_t opened = 0;
};

void HttpCancellation::cancel()
{
    m_cancelled = true;
    if (m_close)
        m_close();
}

HttpClient::HttpClient(asio::io_context& io)
    : m_state(std::make_unique<State>(io))
{
}

HttpClient::~HttpClient() = default;

// Refers to the body, which may be large.
using RequestMessage = http::request<http::span_body<const char>>;

static RequestMessage toMessage(const Endpoint& endpoint, const HttpRequest& request, std::string_view body)
{
    RequestMessage message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, endpoint.text());
    for (const auto& [name, value] : request.headers)
        message.set(name, value);
    message.keep_alive(true);
    message.body() = { body.data(), body.size() };
    // Methods that define what a body means have a length also without one (RFC 9110, section 8.6).
    bool expectsBody = message.method() == http::verb::post || message.method() == http::verb::put || message.method() == http::verb::patch;
    if (expectsBody || !body.empty())
        message.content_length(body.size());
    return message;
}

template <typename Message>
static HttpHeaders lowerCaseHeaders(const Message& message)
{
    HttpHeaders headers;
    for (const auto& field : message) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        headers[name] = std::string(field.value());
    }
    return headers;
}

static void setSocketOptions(Tcp::socket& socket)
{
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using KeepIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using KeepInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using KeepCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    // Errors are ignored: the read timeouts still detect an unresponsive peer.
    boost::system::error_code ec;
    socket.set_option(Tcp::no_delay(true), ec);
    socket.set_option(UserTimeout(tcpUserTimeoutMilliseconds), ec);
    socket.set_option(asio::socket_base::keep_alive(true), ec);
    socket.set_option(KeepIdle(keepAliveIdleSeconds), ec);
    socket.set_option(KeepInterval(keepAliveIntervalSeconds), ec);
    socket.set_option(KeepCount(keepAliveProbes), ec);
}

static void expireAfter(beast::tcp_stream& stream, Milliseconds limit, const HttpCallOptions& options)
{
    TimePoint end = std::chrono::steady_clock::now() + limit;
    stream.expires_at(options.deadline ? std::min(end, *options.deadline) : end);
}

static TargetFailure failureOf(const boost::system::error_code& ec)
{
    if (ec == beast::error::timeout || ec == asio::error::timed_out || ec == asio::error::host_unreachable)
        return TargetFailure::TimedOut;
    if (ec == asio::error::operation_aborted)
        return TargetFailure::Cancelled;
    if (ec == http::error::end_of_stream || ec == http::error::partial_message || ec == asio::error::eof || ec == asio::error::connection_reset || ec == asio::error::broken_pipe)
        return TargetFailure::ConnectionLost;
    return TargetFailure::InvalidResponse;
}

static TargetFailure failureToConnect(const boost::system::error_code& ec)
{
    if (ec == asio::error::connection_refused)
        return TargetFailure::ConnectionRefused;
    // Says nothing about the target.
    if (ec == asio::error::no_descriptors || ec == boost::system::errc::too_many_files_open_in_system || ec == asio::error::no_buffer_space || ec == asio::error::no_memory || ec == boost::system::errc::address_not_available)
        return TargetFailure::OutOfResources;
    return TargetFailure::Unreachable;
}

std::unique_ptr<HttpClient::Connection> HttpClient::connect(const Endpoint& endpoint, const HttpCallOptions& options)
{
    auto connection = std::make_unique<Connection>(m_state->io);
    boost::system::error_code ec;
    auto address = asio::ip::make_address(endpoint.host, ec);
    if (ec)
        throw TargetError(endpoint, Executed::No, ec.message(), TargetFailure::Unreachable);
    expireAfter(connection->stream, options.connectTimeout, options);
    ++m_state->opened;
    auto result = awaitIo([&](auto handler) { connection->stream.async_connect(Tcp::endpoint(address, endpoint.port), std::move(handler)); });
    if (result.ec)
        throw TargetError(endpoint, Executed::No, result.ec.message(), failureToConnect(result.ec));
    setSocketOptions(connection->stream.socket());
    connection->connectedAt = std::chrono::steady_clock::now();
    return connection;
}

std::optional<TargetFailure> HttpClient::probe(const Endpoint& endpoint, Milliseconds timeout)
{
    HttpCallOptions options;
    options.connectTimeout = timeout;
    try {
        connect(endpoint, options);
        return std::nullopt;
    } catch (const TargetError& error) {
        return error.failure();
    }
}

std::optional<TargetFailure> HttpClient::openIdle(const Endpoint& endpoint, const std::string& group, Milliseconds timeout)
{
    HttpCallOptions options;
    options.connectTimeout = timeout;
    try {
        auto connection = connect(endpoint, options);
        connection->idleUntil = std::chrono::steady_clock::now() + defaultIdleLimit - idleMargin;
        keepIdle(std::move(connection), endpoint, group);
        return std::nullopt;
    } catch (const TargetError& error) {
        return error.failure();
    }
}

// Pending input on an idle connection is a close or an unsolicited response; such a connection must not be reused.
static bool hasNoPendingInput(beast::tcp_stream& stream)
{
    char byte = 0;
    ssize_t n = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool HttpClient::hasIdle(const Endpoint& endpoint, const std::string& group) const
{
    auto it = m_state->idle.find({ group, endpoint });
    if (it == m_state->idle.end())
        return false;
    TimePoint now = std::chrono::steady_clock::now();
    return std::any_of(it->second.begin(), it->second.end(), [&](const auto& connection) { return now < connection->idleUntil && hasNoPendingInput(connection->stream); });
}

std::unique_ptr<HttpClient::Connection> HttpClient::takeIdle(const Endpoint& endpoint, const std::string& group)
{
    auto it = m_state->idle.find({ group, endpoint });
    if (it == m_state->idle.end())
        return nullptr;
    auto& idle = it->second;
    TimePoint now = std::chrono::steady_clock::now();
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (now < connection->idleUntil && hasNoPendingInput(connection->stream))
            return connection;
    }
    return nullptr;
}

void HttpClient::keepIdle(std::unique_ptr<Connection> connection, const Endpoint& endpoint, const std::string& group)
{
    auto& idle = m_state->idle[{ group, endpoint }];
    if (idle.size() >= maxIdlePerTarget)
        return;
    connection->stream.expires_never();
    idle.push_back(std::move(connection));
}

void HttpClient::closeIdle(const std::string& group)
{
    auto it = m_state->idle.lower_bound({ group, {} });
    while (it != m_state->idle.end() && it->first.first == group)
        it = m_state->idle.erase(it);
}

std::uint64_t HttpClient::connectionsOpened() const
{
    return m_state->opened;
}

void HttpClient::send(Connection& connection, const Endpoint& endpoint, const HttpRequest& request, const HttpCallOptions& options)
{
    auto message = toMessage(endpoint, request, options.body.value_or(request.body));
    expireAfter(connection.stream, options.readTimeout, options);
    auto result = awaitIo([&](auto handler) { http::async_write(connection.stream, message, std::move(handler)); });
    if (result.ec)
        throw TargetError(endpoint, Executed::Unknown, result.ec.message(), failureOf(result.ec));
}

HttpResponse HttpClient::call(const Endpoint& endpoint, const HttpRequest& request, const HttpCallOptions& options)
{
    std::string body;
    HttpResponse response = stream(
        endpoint, request, [&](std::string_view chunk) { body.append(chunk); }, options);
    if (response.body.empty())
        response.body = std::move(body);
    return response;
}

// Time until which an idle connection may be reused: the target's keep-alive timeout less a margin.
static TimePoint idleDeadline(std::string_view keepAlive)
{
    Milliseconds limit = defaultIdleLimit;
    auto at = keepAlive.find("timeout=");
    if (at != std::string_view::npos) {
        std::string_view digits = keepAlive.substr(at + std::string_view("timeout=").size());
        unsigned seconds = 0;
        if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec == std::errc())
            limit = std::chrono::seconds(seconds);
    }
    return std::chrono::steady_clock::now() + limit - std::min(idleMargin, limit / 2);
}

// Any three digits pass the parser. 101 would end the protocol, which no request asks for (RFC 9110, section 15).
static bool hasValidStatus(const HttpResponse& response)
{
    return response.status >= firstStatus && response.status <= lastStatus && response.status != statusSwitchingProtocols;
}

// An interim answer (1xx) is followed by the answer itself.
static bool isInterim(const HttpResponse& response)
{
    return response.status < firstFinalStatus;
}

static bool isSuccess(const HttpResponse& response)
{
    return response.status >= 200 && response.status < 300;
}

// The answer to HEAD has no body, whatever length it names.
HttpResponse HttpClient::readResponse(Connection& connection, const Endpoint& endpoint, bool isHead, const ChunkHandler& onChunk, const HttpCallOptions& options, bool& isStale)
{
    std::size_t discardedBytes = 0;
    for (unsigned discarded = 0; discarded <= maxDiscardedAnswers; ++discarded) {
        http::response_parser<http::buffer_body> parser;
        parser.body_limit(options.maxBodyBytes);
        parser.skip(isHead);
        auto header = awaitIo([&](auto handler) { http::async_read_header(connection.stream, connection.buffer, parser, std::move(handler)); });
        if (header.ec) {
            isStale = !parser.got_some();
            throw TargetError(endpoint, Executed::Unknown, header.ec.message(), failureOf(header.ec));
        }
        HttpResponse response { static_cast<int>(parser.get().result_int()), lowerCaseHeaders(parser.get()), {}, parser.need_eof(), connection.connectedAt };
        if (!hasValidStatus(response))
            throw TargetError(endpoint, Executed::Unknown, fmt::format("status {:03} is none of the protocol", response.status), TargetFailure::InvalidResponse);
        bool matches = !isInterim(response) && (!options.matchesRequest || options.matchesRequest(response));
        if (matches && options.onHeader)
            options.onHeader(response);
        std::string buf(streamBufferBytes, '\0');
        std::size_t bodyBytes = 0;
        while (!parser.is_done()) {
            parser.get().body().data = buf.data();
            parser.get().body().size = buf.size();
            expireAfter(connection.stream, options.readTimeout, options);
            auto result = awaitIo([&](auto handler) { http::async_read_some(connection.stream, connection.buffer, parser, std::move(handler)); });
            if (result.ec && result.ec != http::error::need_buffer)
                throw TargetError(endpoint, Executed::Unknown, result.ec.message(), failureOf(result.ec));
            std::string_view chunk(buf.data(), buf.size() - parser.get().body().size);
            bodyBytes += chunk.size();
            if (!matches) {
                discardedBytes += chunk.size();
                if (discardedBytes > options.maxBodyBytes)
                    throw TargetError(endpoint, Executed::Unknown, "answers of other requests exceed the limit of a body");
                continue;
            }
            if (response.status == 200)
                onChunk(chunk);
            else
                response.body.append(chunk);
        }
        // A target that ends between head and body leaves the same bytes as an empty body without a length.
        if (response.endsWithConnection && bodyBytes == 0 && isSuccess(response))
            throw TargetError(endpoint, Executed::Unknown, "connection closed before the body", TargetFailure::ConnectionLost);
        bool reusable = parser.get().keep_alive() && !parser.get().need_eof() && (!options.keepsConnection || options.keepsConnection(response));
        if (!matches && !reusable && !isInterim(response))
            throw TargetError(endpoint, Executed::Unknown, "answer of another request");
        if (!matches)
            continue;
        // Bytes after the response belong to no request, so the connection cannot be reused.
        reusable = reusable && connection.buffer.size() == 0;
        connection.idleUntil = reusable ? idleDeadline(parser.get()[http::field::keep_alive]) : TimePoint::min();
        return response;
    }
    throw TargetError(endpoint, Executed::Unknown, "too many answers of other requests");
}

HttpResponse HttpClient::stream(const Endpoint& endpoint, const HttpRequest& request, const ChunkHandler& onChunk, const HttpCallOptions& options, HttpCancellation* cancellation)
{
    std::unique_ptr<Connection> connection = options.reuseConnection ? takeIdle(endpoint, options.group) : nullptr;
    bool reused = connection != nullptr;
    if (!connection)
        connection = connect(endpoint, options);
    if (cancellation) {
        if (cancellation->m_cancelled)
            throw TargetError(endpoint, Executed::No, "cancelled", TargetFailure::Cancelled);
        cancellation->m_close = [stream = &connection->stream] { stream->cancel(); };
    }
    struct ResetOnExit {
        ~ResetOnExit()
        {
            if (cancellation)
                cancellation->m_close = nullptr;
        }
        HttpCancellation* cancellation;
    } resetOnExit { cancellation };

    bool isStale = false;
    try {
        isStale = true;
        send(*connection, endpoint, request, options);
        isStale = false;
        HttpResponse response = readResponse(*connection, endpoint, request.method == "HEAD", onChunk, options, isStale);
        if (connection->idleUntil != TimePoint::min())
            keepIdle(std::move(connection), endpoint, options.group);
        return response;
    } catch (const TargetError&) {
        bool cancelled = cancellation && cancellation->m_cancelled;
        if (!isStale || !reused || !options.resendOnStale || cancelled)
            throw;
    }
    // The target may have closed the kept-alive connection before the request arrived, and resendOnStale allows a resend.
    HttpCallOptions retryOptions = options;
    retryOptions.reuseConnection = false;
    try {
        return stream(endpoint, request, onChunk, retryOptions, cancellation);
    } catch (const TargetError& error) {
        // The target may have received the request on the first connection before that one failed.
        throw TargetError(endpoint, Executed::Unknown, error.what(), error.failure());
    }
}

} // namespace basilpoint
