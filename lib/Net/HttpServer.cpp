#include "basilpoint/Net/HttpServer.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/FiberAwait.h"
#include "basilpoint/Net/FiberRuntime.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <fmt/format.h>
#include <optional>
#include <set>
#include <sys/socket.h>
#include <utility>

namespace basilpoint {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

static constexpr Milliseconds acceptRetryDelay { 50 };
// Input that the parser cannot consume yet, such as a chunk header, for which it has no limit. Headers must fit in as well.
static constexpr std::size_t minUnparsedBytes = 64 * 1024;
// Longest wait for the caller to close its end after the last response.
static constexpr Milliseconds lingerTimeout { 1'000 };
// Longest wait for memory. A request that needs longer is served sooner elsewhere, or a little later.
static constexpr Milliseconds maxMemoryWait { 500 };

struct HttpServer::State {
    State(asio::io_context& context, const Endpoint& address, HttpLimits limits, Handler handler)
        : io(context)
        , acceptor(context)
        , limits(limits)
        , handler(std::move(handler))
    {
        bind(address);
    }

    void bind(const Endpoint& address)
    {
        boost::system::error_code ec;
        Tcp::endpoint endpoint(asio::ip::make_address(address.host, ec), address.port);
        if (!ec)
            acceptor.open(endpoint.protocol(), ec);
        if (!ec)
            acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
        if (!ec)
            acceptor.bind(endpoint, ec);
        if (!ec)
            acceptor.listen(asio::socket_base::max_listen_connections, ec);
        if (ec)
            throw ListenError(address, ec.message());
    }

    asio::io_context& io;
    Tcp::acceptor acceptor;
    HttpLimits limits;
    Handler handler;
    std::set<beast::tcp_stream*> idleStreams;
    std::size_t connections = 0;
    std::size_t activeRequests = 0;
    /// Null if bodies are not limited together.
    MemoryBudget* memory = nullptr;
    NoMemoryHandler onNoMemory;
    FaultHandler onFault;
    bool closeAnnounced = false;
    bool stopped = false;
};

namespace {

    // State of the wait for the caller's disconnect that runs beside the request handler. Shared with the completion
    // handler of the wait, which may run after the request handler has returned.
    struct DisconnectWatch {
        std::function<void()> onDisconnect;
        bool ended = false;
    };

    bool isClosed(Tcp::socket& socket)
    {
        char byte = 0;
        ssize_t n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    class StreamWriter final : public ResponseWriter {
    public:
        /// \param isHead whether the answer has no body, since the method is HEAD.
        StreamWriter(beast::tcp_stream& stream, unsigned version, bool keepAlive, Milliseconds timeout, bool isHead = false)
            : m_stream(stream)
            , m_timeout(timeout)
            , m_version(version)
            , m_keepAlive(keepAlive)
            , m_isHead(isHead)
        {
        }

        void send(const HttpResponse& response) override
        {
            assert(!m_started && "one response per request");
            m_started = true;
            if (m_isHead)
                return writeHead(response.status, response.headers, false);
            http::response<http::string_body> message(static_cast<http::status>(response.status), m_version);
            setHeaders(message, response.headers);
            message.body() = response.body;
            message.prepare_payload();
            m_stream.expires_after(m_timeout);
            auto result = awaitIo([&](auto handler) { http::async_write(m_stream, message, std::move(handler)); });
            check(result.ec);
        }

        void begin(int status, const HttpHeaders& headers) override
        {
            assert(!m_started && "one response per request");
            m_started = true;
            m_streaming = true;
            writeHead(status, headers, !m_isHead);
        }

        void write(std::string_view chunk) override
        {
            assert(m_streaming && "write() requires begin()");
            if (chunk.empty() || m_isHead)
                return;
            writeAll(fmt::format("{:x}\r\n{}\r\n", chunk.size(), chunk));
        }

        void end() override
        {
            assert(m_streaming && "end() requires begin()");
            m_streaming = false;
            if (!m_isHead)
                writeAll("0\r\n\r\n");
        }

        void notifyOnDisconnect(const std::function<void()>& onDisconnect) override
        {
            assert(!m_watch && "at most one disconnect watch per request");
            m_watch = std::make_shared<DisconnectWatch>(DisconnectWatch { onDisconnect });
            m_stream.socket().async_wait(Tcp::socket::wait_read, [watch = m_watch, socket = &m_stream.socket()](boost::system::error_code ec) {
                // Readable bytes are the caller's next request, which is read after this response.
                if (!ec && !watch->ended && isClosed(*socket))
                    watch->onDisconnect();
            });
        }

        // Cancels the wait for the caller's disconnect, so that the next request can be read.
        void endWatch()
        {
            if (!m_watch)
                return;
            m_watch->ended = true;
            boost::system::error_code ec;
            m_stream.socket().cancel(ec);
        }

        bool started() const override { return m_started; }
        bool complete() const { return m_started && !m_streaming && !m_connectionLost; }
        bool keepAlive() const { return m_keepAlive && complete(); }

    private:
        template <typename Message>
        void setHeaders(Message& message, const HttpHeaders& headers)
        {
            for (const auto& [name, value] : headers)
                message.set(name, value);
            message.keep_alive(m_keepAlive);
        }

        void writeHead(int status, const HttpHeaders& headers, bool isChunked)
        {
            http::response<http::empty_body> message(static_cast<http::status>(status), m_version);
            setHeaders(message, headers);
            message.chunked(isChunked);
            http::response_serializer<http::empty_body> serializer(message);
            m_stream.expires_after(m_timeout);
            auto result = awaitIo([&](auto handler) { http::async_write_header(m_stream, serializer, std::move(handler)); });
            check(result.ec);
        }

        void writeAll(const std::string& buf)
        {
            m_stream.expires_after(m_timeout);
            auto result = awaitIo([&](auto handler) { asio::async_write(m_stream, asio::buffer(buf), std::move(handler)); });
            check(result.ec);
        }

        void check(boost::system::error_code ec)
        {
            if (!ec)
                return;
            m_connectionLost = true;
            throw ConnectionLostError(ec.message());
        }

        beast::tcp_stream& m_stream;
        std::shared_ptr<DisconnectWatch> m_watch;
        Milliseconds m_timeout;
        unsigned m_version;
        bool m_keepAlive;
        bool m_isHead;
        bool m_started = false;
        bool m_streaming = false;
        bool m_connectionLost = false;
    };

} // namespace

static HttpHeaders headersOf(const http::request<http::string_body>& message)
{
    HttpHeaders headers;
    for (const auto& field : message) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        auto [it, isFirst] = headers.try_emplace(name, field.value());
        // A header that occurs several times has the values of all (RFC 9110, section 5.3).
        if (!isFirst)
            it->second.append(", ").append(field.value());
    }
    return headers;
}

// An exception must not leave the connection's fiber, which would end the process and with it all other requests.
static void handleRequest(const HttpServer::Handler& handler, const HttpServer::FaultHandler& onFault, const HttpRequest& request, StreamWriter& writer)
{
    // A stream that has begun is closed without its final chunk, which shows the caller that it is incomplete.
    auto fail = [&](const Error& error) {
        if (!writer.started())
            writer.send(toProblem(error));
    };
    try {
        handler(request, writer);
    } catch (const ConnectionLostError&) {
        return;
    } catch (const Error& error) {
        fail(error);
    } catch (const std::exception& error) {
        if (onFault)
            onFault(request, error.what());
        fail(InternalError());
    }
}

// The rule of the protocol that the request breaks, such that its body may be framed otherwise by whoever has passed it on; empty
// if none. The parser takes a request for one without a body if its transfer coding does not end with "chunked" (RFC 9112,
// section 6.3), and drops codings before that one.
static std::string_view brokenFramingRule(unsigned version, const HttpHeaders& headers)
{
    auto coding = headers.find("transfer-encoding");
    if (coding == headers.end())
        return {};
    if (!beast::iequals(coding->second, "chunked"))
        return "chunked is the only transfer coding, once";
    if (headers.contains("content-length"))
        return "a request has a transfer coding or a length";
    return version < 11 ? "HTTP/1.0 has no transfer codings" : std::string_view();
}

// As above, for methods that cannot be passed on as they were sent (RFC 9110, sections 9.3.6 and 9.3.8).
template <typename Parser>
static std::string_view brokenMethodRule(const Parser& parser)
{
    bool hasBody = parser.chunked() || parser.content_length().value_or(0) > 0;
    if (parser.get().method() == http::verb::trace && hasBody)
        return "TRACE has no content";
    return parser.get().method() == http::verb::connect ? "there are no tunnels" : std::string_view();
}

template <typename Parser>
static std::optional<InvalidInputError> refusalOf(const Parser& parser, const HttpHeaders& headers)
{
    if (std::string_view rule = brokenFramingRule(parser.get().version(), headers); !rule.empty())
        return InvalidInputError("transfer-encoding", headers.at("transfer-encoding"), std::string(rule));
    if (std::string_view rule = brokenMethodRule(parser); !rule.empty())
        return InvalidInputError("method", std::string(parser.get().method_string()), std::string(rule));
    return std::nullopt;
}

// Sends a problem document if the request violates a limit or the protocol; other read errors mean that the connection
// is lost.
static void rejectMalformedRequest(beast::tcp_stream& stream, boost::system::error_code ec, const HttpLimits& limits)
{
    StreamWriter writer(stream, 11, false, limits.writeTimeout);
    try {
        if (ec == http::error::body_limit)
            writer.send(toProblem(TooLargeError("body", limits.maxBodyBytes)));
        else if (ec == http::error::header_limit)
            writer.send(toProblem(TooLargeError("header", limits.maxHeaderBytes)));
        else if (ec.category() == make_error_code(http::error::bad_method).category() && ec != http::error::end_of_stream && ec != http::error::partial_message)
            writer.send(toProblem(InvalidInputError("request", ec.message(), "HTTP/1.1")));
    } catch (const ConnectionLostError&) {
        return;
    }
}

/// Counts a request as active from its first byte until its response is complete.
template <typename ServerState>
struct ActiveRequest {
    explicit ActiveRequest(ServerState& state)
        : state(state)
    {
        ++state.activeRequests;
    }
    ActiveRequest(const ActiveRequest&) = delete;
    ActiveRequest& operator=(const ActiveRequest&) = delete;
    ~ActiveRequest() { --state.activeRequests; }

    ServerState& state;
};

// Reads the first bytes of a request. The stream is in idleStreams only until they arrive, so stop() closes no connection
// with a partly read request.
template <typename ServerState, typename Parser>
static IoResult readFirstBytes(ServerState& state, beast::tcp_stream& stream, beast::flat_buffer& buffer, Parser& parser)
{
    stream.expires_after(state.limits.idleTimeout);
    // The connection was accepted while the server stopped, and no request has arrived on it.
    if (state.stopped && buffer.size() == 0)
        return { asio::error::operation_aborted, 0 };
    if (buffer.size() == 0)
        state.idleStreams.insert(&stream);
    auto result = awaitIo([&](auto handler) { http::async_read_some(stream, buffer, parser, std::move(handler)); });
    state.idleStreams.erase(&stream);
    return result;
}

// Discards input until the caller closes: closing a socket with unread bytes resets the connection, which could destroy
// the last response before the caller has read it.
static void lingerAndClose(beast::tcp_stream& stream)
{
    boost::system::error_code ec;
    stream.socket().shutdown(Tcp::socket::shutdown_send, ec);
    stream.expires_after(lingerTimeout);
    std::array<char, 4096> buf;
    while (!ec)
        ec = awaitIo([&](auto handler) { stream.async_read_some(asio::buffer(buf), std::move(handler)); }).ec;
}

/// Memory for the body of one request.
template <typename ServerState, typename Parser>
class BodyMemory {
public:
    BodyMemory(ServerState& state, const Parser& parser)
        : m_parser(parser)
    {
        if (state.memory)
            m_share.emplace(*state.memory);
    }

    /// Takes the memory for a body whose length is known.
    bool awaitRoom()
    {
        auto length = m_parser.content_length();
        if (!m_share || !length)
            return true;
        m_taken = *length;
        return m_share->awaitRoom(HttpServer::copiesOfBody * m_taken, maxMemoryWait);
    }

    /// Takes the memory for what has been read of a body without a length.
    bool keepUp()
    {
        std::size_t size = m_parser.get().body().size();
        if (!m_share || size <= m_taken)
            return true;
        std::size_t more = HttpServer::copiesOfBody * (size - std::exchange(m_taken, size));
        return m_share->awaitRoom(more, maxMemoryWait);
    }

private:
    const Parser& m_parser;
    std::optional<MemoryBudget::Share> m_share;
    /// Bytes of the body that the share covers.
    std::size_t m_taken = 0;
};

// The connection is closed, since the rest of the body is not read as a part of the request.
template <typename ServerState>
static bool refuseBody(ServerState& state, beast::tcp_stream& stream, unsigned version, const HttpRequest& head)
{
    StreamWriter writer(stream, version, false, state.limits.writeTimeout);
    handleRequest([&](const HttpRequest& request, ResponseWriter& refusal) { refusal.send(state.onNoMemory(request)); }, state.onFault, head, writer);
    return false;
}

// The connection is to be closed, since what follows may belong to the request or not.
template <typename ServerState>
static void refuseRequest(ServerState& state, beast::tcp_stream& stream, const Error& error)
{
    StreamWriter writer(stream, 11, false, state.limits.writeTimeout);
    try {
        writer.send(toProblem(error));
    } catch (const ConnectionLostError&) {
        return;
    }
}

template <typename ServerState>
static bool serveRequest(ServerState& state, beast::tcp_stream& stream, beast::flat_buffer& buffer)
{
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(state.limits.maxHeaderBytes));
    parser.body_limit(state.limits.maxBodyBytes);
    IoResult result = readFirstBytes(state, stream, buffer, parser);
    if (result.ec == asio::error::operation_aborted)
        return false;
    ActiveRequest active(state);
    TimePoint firstBytesAt = std::chrono::steady_clock::now();
    if (!result.ec && !parser.is_done())
        stream.expires_after(state.limits.readTimeout);
    if (!result.ec && !parser.is_header_done())
        result = awaitIo([&](auto handler) { http::async_read_header(stream, buffer, parser, std::move(handler)); });
    // Before the body is read, since the parser then adds the trailers, which are no headers (RFC 9110, section 6.5.1).
    HttpHeaders headers = result.ec ? HttpHeaders() : headersOf(parser.get());
    if (auto refusal = result.ec ? std::nullopt : refusalOf(parser, headers)) {
        refuseRequest(state, stream, *refusal);
        return false;
    }
    HttpRequest request;
    if (!result.ec)
        request = { std::string(parser.get().method_string()), std::string(parser.get().target()), std::move(headers), {} };
    BodyMemory memory(state, parser);
    if (!result.ec && !memory.awaitRoom())
        return refuseBody(state, stream, parser.get().version(), request);
    while (!result.ec && !parser.is_done()) {
        result = awaitIo([&](auto handler) { http::async_read_some(stream, buffer, parser, std::move(handler)); });
        if (!result.ec && !memory.keepUp())
            return refuseBody(state, stream, parser.get().version(), request);
    }
    if (result.ec) {
        rejectMalformedRequest(stream, result.ec, state.limits);
        return false;
    }
    auto message = parser.release();
    StreamWriter writer(stream, message.version(), message.keep_alive() && !state.stopped && !state.closeAnnounced, state.limits.writeTimeout, request.method == "HEAD");
    request.body = std::move(message.body());
    request.readFor = std::chrono::steady_clock::now() - firstBytesAt;
    try {
        handleRequest(state.handler, state.onFault, request, writer);
    } catch (const ConnectionLostError&) {
        writer.endWatch();
        return false;
    }
    writer.endWatch();
    return writer.keepAlive() && !state.stopped;
}

template <typename ServerState>
static void serveConnection(const std::shared_ptr<ServerState>& state, Tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    boost::system::error_code ec;
    stream.socket().set_option(Tcp::no_delay(true), ec);
    beast::flat_buffer buffer { std::max(minUnparsedBytes, 2 * state->limits.maxHeaderBytes) };
    ++state->connections;
    while (serveRequest(*state, stream, buffer)) {
    }
    lingerAndClose(stream);
    --state->connections;
}

template <typename ServerState>
static void acceptLoop(const std::shared_ptr<ServerState>& state)
{
    while (!state->stopped) {
        Tcp::socket socket(state->io);
        auto result = awaitIo([&](auto handler) { state->acceptor.async_accept(socket, std::move(handler)); });
        if (state->stopped)
            return;
        if (result.ec || state->connections >= state->limits.maxConnections) {
            // Out of file descriptors or above maxConnections: new connections wait in the kernel's backlog.
            asio::steady_timer timer(state->io, acceptRetryDelay);
            awaitIo([&](auto handler) { timer.async_wait(std::move(handler)); });
            continue;
        }
        auto shared = std::make_shared<Tcp::socket>(std::move(socket));
        spawnFiber([state, shared] { serveConnection(state, std::move(*shared)); });
    }
}

HttpServer::HttpServer(asio::io_context& io, const Endpoint& endpoint, HttpLimits limits, Handler handler)
    : m_state(std::make_shared<State>(io, endpoint, limits, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::start()
{
    spawnFiber([state = m_state] { acceptLoop(state); });
}

void HttpServer::announceClose()
{
    m_state->closeAnnounced = true;
}

void HttpServer::setLimits(const HttpLimits& limits)
{
    m_state->limits = limits;
}

void HttpServer::setMemory(MemoryBudget& budget, NoMemoryHandler handler)
{
    m_state->memory = &budget;
    m_state->onNoMemory = std::move(handler);
}

void HttpServer::onFault(FaultHandler handler)
{
    m_state->onFault = std::move(handler);
}

void HttpServer::stop()
{
    if (m_state->stopped)
        return;
    m_state->stopped = true;
    boost::system::error_code ec;
    m_state->acceptor.close(ec);
    for (auto* stream : m_state->idleStreams)
        stream->cancel();
}

Endpoint HttpServer::endpoint() const
{
    auto endpoint = m_state->acceptor.local_endpoint();
    return { endpoint.address().to_string(), endpoint.port() };
}

std::size_t HttpServer::activeRequests() const
{
    return m_state->activeRequests;
}

} // namespace basilpoint
