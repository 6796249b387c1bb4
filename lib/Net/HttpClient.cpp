#include "basilpoint/Net/HttpClient.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/FiberAwait.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <vector>

namespace basilpoint {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

static constexpr std::size_t maxIdlePerTarget = 64;
static constexpr std::size_t streamBufferBytes = 16 * 1024;

struct HttpClient::Connection {
    explicit Connection(asio::io_context& io)
        : stream(io)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

struct HttpClient::State {
    explicit State(asio::io_context& context)
        : io(context)
    {
    }

    asio::io_context& io;
    std::map<Endpoint, std::vector<std::unique_ptr<Connection>>> idle;
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

static http::request<http::string_body> toMessage(const Endpoint& endpoint, const HttpRequest& request)
{
    http::request<http::string_body> message(http::string_to_verb(request.method), request.target, 11);
    for (const auto& [name, value] : request.headers)
        message.set(name, value);
    message.set(http::field::host, endpoint.text());
    message.keep_alive(true);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

template <typename Message>
static HttpHeaders headersOf(const Message& message)
{
    HttpHeaders headers;
    for (const auto& field : message) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        headers[name] = std::string(field.value());
    }
    return headers;
}

std::unique_ptr<HttpClient::Connection> HttpClient::connect(const Endpoint& endpoint, const HttpCallOptions& options)
{
    auto connection = std::make_unique<Connection>(m_state->io);
    boost::system::error_code ec;
    auto address = asio::ip::make_address(endpoint.host, ec);
    if (ec)
        throw TargetError(endpoint, Executed::No, ec.message());
    connection->stream.expires_after(options.connectTimeout);
    auto result = awaitIo([&](auto handler) { connection->stream.async_connect(Tcp::endpoint(address, endpoint.port), std::move(handler)); });
    if (result.ec)
        throw TargetError(endpoint, Executed::No, result.ec.message());
    connection->stream.socket().set_option(Tcp::no_delay(true), ec);
    return connection;
}

std::unique_ptr<HttpClient::Connection> HttpClient::takeIdle(const Endpoint& endpoint)
{
    auto& idle = m_state->idle[endpoint];
    if (idle.empty())
        return nullptr;
    auto connection = std::move(idle.back());
    idle.pop_back();
    return connection;
}

void HttpClient::send(Connection& connection, const Endpoint& endpoint, const HttpRequest& request, const HttpCallOptions& options)
{
    auto message = toMessage(endpoint, request);
    connection.stream.expires_after(options.readTimeout);
    auto result = awaitIo([&](auto handler) { http::async_write(connection.stream, message, std::move(handler)); });
    if (result.ec)
        throw TargetError(endpoint, Executed::Unknown, result.ec.message());
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

HttpResponse HttpClient::stream(const Endpoint& endpoint, const HttpRequest& request, const ChunkHandler& onChunk, const HttpCallOptions& options, HttpCancellation* cancellation)
{
    std::unique_ptr<Connection> connection = options.reuseConnection ? takeIdle(endpoint) : nullptr;
    bool reused = connection != nullptr;
    if (!connection)
        connection = connect(endpoint, options);
    if (cancellation) {
        if (cancellation->m_cancelled)
            throw TargetError(endpoint, Executed::No, "cancelled");
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

    http::response_parser<http::buffer_body> parser;
    parser.body_limit(options.maxBodyBytes);
    IoResult header;
    try {
        send(*connection, endpoint, request, options);
        header = awaitIo([&](auto handler) { http::async_read_header(connection->stream, connection->buffer, parser, std::move(handler)); });
    } catch (const TargetError&) {
        if (!reused)
            throw;
        header.ec = http::error::end_of_stream;
    }
    // A kept-alive connection may have been closed before the request came; the request may be sent twice.
    if (header.ec && reused && !parser.is_header_done()) {
        HttpCallOptions fresh = options;
        fresh.reuseConnection = false;
        try {
            return stream(endpoint, request, onChunk, fresh, cancellation);
        } catch (const TargetError& error) {
            // The first connection may have brought the request to the target before it broke.
            throw TargetError(endpoint, Executed::Unknown, error.what());
        }
    }
    if (header.ec)
        throw TargetError(endpoint, Executed::Unknown, header.ec.message());

    HttpResponse response { static_cast<int>(parser.get().result_int()), headersOf(parser.get()), {} };
    if (options.onHeader)
        options.onHeader(response);
    std::string buf(streamBufferBytes, '\0');
    while (!parser.is_done()) {
        parser.get().body().data = buf.data();
        parser.get().body().size = buf.size();
        connection->stream.expires_after(options.readTimeout);
        auto result = awaitIo([&](auto handler) { http::async_read_some(connection->stream, connection->buffer, parser, std::move(handler)); });
        if (result.ec && result.ec != http::error::need_buffer)
            throw TargetError(endpoint, Executed::Unknown, result.ec.message());
        std::string_view chunk(buf.data(), buf.size() - parser.get().body().size);
        if (response.status == 200)
            onChunk(chunk);
        else
            response.body.append(chunk);
    }
    auto& idle = m_state->idle[endpoint];
    if (parser.get().keep_alive() && idle.size() < maxIdlePerTarget) {
        connection->stream.expires_never();
        idle.push_back(std::move(connection));
    }
    return response;
}

} // namespace basilpoint
