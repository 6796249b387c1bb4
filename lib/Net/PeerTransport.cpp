#include "PeerTransport.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <map>
#include <type_traits>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio.hpp>
#include <websocketpp/config/asio_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

namespace basilpoint {

namespace asio = boost::asio;
namespace ws = websocketpp;

static constexpr long handshakeTimeoutMilliseconds = 3'000;
static constexpr long closeTimeoutMilliseconds = 1'000;
static constexpr std::size_t maxHandshakeBodyBytes = 1'024;
static constexpr auto releasePollInterval = std::chrono::milliseconds(10);
static const std::string resourcePath = "/peer";

namespace {

    // Configuration without locks and strands, as the event loop has one thread. The library prescribes the names.
    // NOLINTBEGIN(readability-identifier-naming)
    template <typename Base, typename SocketType>
    struct SingleThreaded : Base {
        using type = SingleThreaded;
        using base = Base;
        using concurrency_type = ws::concurrency::none;
        using alog_type = ws::log::stub;
        using elog_type = ws::log::stub;
        using request_type = typename base::request_type;
        using response_type = typename base::response_type;
        using message_type = typename base::message_type;
        using con_msg_manager_type = typename base::con_msg_manager_type;
        using endpoint_msg_manager_type = typename base::endpoint_msg_manager_type;
        using rng_type = typename base::rng_type;

        struct transport_config : public Base::transport_config {
            using concurrency_type = ws::concurrency::none;
            using alog_type = ws::log::stub;
            using elog_type = ws::log::stub;
            using request_type = typename Base::request_type;
            using response_type = typename Base::response_type;
            using socket_type = SocketType;
            static constexpr bool enable_multithreading = false;
        };
        using transport_type = ws::transport::asio::endpoint<transport_config>;
    };
    // NOLINTEND(readability-identifier-naming)

    using PlainServer = SingleThreaded<ws::config::asio, ws::transport::asio::basic_socket::endpoint>;
    using PlainClient = SingleThreaded<ws::config::asio_client, ws::transport::asio::basic_socket::endpoint>;
    using TlsServer = SingleThreaded<ws::config::asio, ws::transport::asio::tls_socket::endpoint>;
    using TlsClient = SingleThreaded<ws::config::asio_client, ws::transport::asio::tls_socket::endpoint>;

    using TlsContext = std::shared_ptr<asio::ssl::context>;

    // TLS context for inbound and outbound connections; reloaded when one of its files changes.
    class TlsCredentials {
    public:
        explicit TlsCredentials(const PeerTransportSettings& settings)
            : m_files { settings.certificateFile, settings.privateKeyFile, settings.authorityFile }
            , m_modifiedAt(modificationTimes())
            , m_context(load())
        {
        }

        // A file may be unreadable for a moment while it is replaced; the previous context then stays in use.
        TlsContext context()
        {
            try {
                auto times = modificationTimes();
                if (times != m_modifiedAt) {
                    m_context = load();
                    m_modifiedAt = times;
                }
            } catch (const PeerKeyFailure&) {
                return m_context;
            }
            return m_context;
        }

    private:
        std::vector<std::filesystem::file_time_type> modificationTimes() const
        {
            std::vector<std::filesystem::file_time_type> result;
            for (const std::string& file : m_files) {
                std::error_code ec;
                result.push_back(std::filesystem::last_write_time(file, ec));
                if (ec)
                    throw PeerKeyFailure(file + ": " + ec.message());
            }
            return result;
        }

        TlsContext load() const
        {
            try {
                auto context = std::make_shared<asio::ssl::context>(asio::ssl::context::tls);
                context->set_options(asio::ssl::context::no_tlsv1 | asio::ssl::context::no_tlsv1_1 | asio::ssl::context::no_sslv3);
                context->use_certificate_chain_file(m_files[0]);
                context->use_private_key_file(m_files[1], asio::ssl::context::pem);
                context->load_verify_file(m_files[2]);
                context->set_verify_mode(asio::ssl::verify_peer | asio::ssl::verify_fail_if_no_peer_cert);
                return context;
            } catch (const std::exception& error) {
                throw PeerKeyFailure(error.what());
            }
        }

        std::vector<std::string> m_files;
        std::vector<std::filesystem::file_time_type> m_modifiedAt;
        TlsContext m_context;
    };

    struct Link {
        ws::connection_hdl handle;
        bool isInbound = false;
    };

    // State that outlives the transport until the library's last handler has run.
    template <typename ServerConfig, typename ClientConfig>
    struct Endpoints {
        ws::server<ServerConfig> server;
        ws::client<ClientConfig> client;
        /// Open connections, and outbound connections that are being opened.
        std::map<LinkId, Link> links;
        /// All connections that may still use the endpoints, including those in their handshake.
        std::vector<std::weak_ptr<void>> connections;
        PeerTransportHandlers handlers;
        std::unique_ptr<TlsCredentials> credentials;
        LinkId nextLink = 1;
        std::size_t inbound = 0;
        bool stopped = false;
    };

    template <typename ServerConfig, typename ClientConfig>
    class WebSocketTransport final : public PeerTransport {
    public:
        WebSocketTransport(asio::io_context&, const PeerTransportSettings&, const PeerTransportHandlers&);
        ~WebSocketTransport() override { WebSocketTransport::stop(); }

        LinkId connect(const std::string& host, std::uint16_t port) override;
        bool send(LinkId, const std::string& frame) override;
        void ping(LinkId) override;
        std::size_t queuedBytes(LinkId) const override;
        void close(LinkId, const std::string& reason) override;
        void stop() override;
        std::uint16_t port() const override { return m_port; }

    private:
        using State = Endpoints<ServerConfig, ClientConfig>;
        using Server = ws::server<ServerConfig>;
        using Client = ws::client<ClientConfig>;

        template <typename Endpoint>
        void configureEndpoint(Endpoint&, const PeerTransportSettings&);
        void configureServer(const PeerTransportSettings&);
        template <typename Connection>
        static void setConnectionHandlers(const std::shared_ptr<State>&, LinkId, const Connection&);
        template <typename Action>
        void withConnection(LinkId, Action) const;

        static constexpr bool isTls = std::is_same_v<ServerConfig, TlsServer>;

        asio::io_context& m_io;
        std::shared_ptr<State> m_state = std::make_shared<State>();
        std::uint16_t m_port = 0;
    };

} // namespace

template <typename State>
static void pruneExpired(State& state)
{
    auto isExpired = [](const std::weak_ptr<void>& connection) { return connection.expired(); };
    auto& all = state.connections;
    all.erase(std::remove_if(all.begin(), all.end(), isExpired), all.end());
}

// Holds \p state until no connection exists whose handlers could still use it.
template <typename State>
static void releaseWhenUnused(asio::io_context& io, std::shared_ptr<State> state)
{
    auto timer = std::make_shared<asio::steady_timer>(io, releasePollInterval);
    timer->async_wait([&io, timer, state](boost::system::error_code) mutable {
        pruneExpired(*state);
        if (!state->connections.empty())
            releaseWhenUnused(io, std::move(state));
    });
}

template <typename ServerConfig, typename ClientConfig>
WebSocketTransport<ServerConfig, ClientConfig>::WebSocketTransport(asio::io_context& io, const PeerTransportSettings& settings, const PeerTransportHandlers& handlers)
    : m_io(io)
{
    m_state->handlers = handlers;
    if constexpr (isTls)
        m_state->credentials = std::make_unique<TlsCredentials>(settings);
    configureEndpoint(m_state->server, settings);
    configureEndpoint(m_state->client, settings);
    configureServer(settings);
}

template <typename ServerConfig, typename ClientConfig>
template <typename Endpoint>
void WebSocketTransport<ServerConfig, ClientConfig>::configureEndpoint(Endpoint& endpoint, const PeerTransportSettings& settings)
{
    endpoint.init_asio(&m_io);
    endpoint.set_open_handshake_timeout(handshakeTimeoutMilliseconds);
    endpoint.set_close_handshake_timeout(closeTimeoutMilliseconds);
    endpoint.set_max_message_size(settings.maxMessageBytes);
    endpoint.set_max_http_body_size(maxHandshakeBodyBytes);
    endpoint.set_tcp_post_init_handler([&endpoint](ws::connection_hdl link) {
        ws::lib::error_code ec;
        auto connection = endpoint.get_con_from_hdl(link, ec);
        boost::system::error_code ignored;
        if (!ec)
            connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    });
    if constexpr (isTls)
        endpoint.set_tls_init_handler([credentials = m_state->credentials.get()](const ws::connection_hdl&) { return credentials->context(); });
}

template <typename ServerConfig, typename ClientConfig>
void WebSocketTransport<ServerConfig, ClientConfig>::configureServer(const PeerTransportSettings& settings)
{
    Server& server = m_state->server;
    std::weak_ptr<State> weak = m_state;
    // Rejects WebSocket requests from browsers, which always send an Origin header; daemons never do.
    server.set_validate_handler([weak, limit = settings.maxInboundLinks](ws::connection_hdl link) {
        auto state = weak.lock();
        auto connection = state->server.get_con_from_hdl(link);
        return !state->stopped && state->inbound < limit && connection->get_resource() == resourcePath && connection->get_origin().empty();
    });
    server.set_tcp_pre_init_handler([weak](const ws::connection_hdl& link) {
        auto state = weak.lock();
        pruneExpired(*state);
        state->connections.push_back(link);
    });
    server.set_open_handler([weak](ws::connection_hdl link) {
        auto state = weak.lock();
        if (state->stopped)
            return;
        LinkId id = state->nextLink++;
        auto connection = state->server.get_con_from_hdl(link);
        ++state->inbound;
        setConnectionHandlers(state, id, connection);
        state->links.emplace(id, Link { link, true });
        state->handlers.opened(id);
    });
    server.set_reuse_addr(true);
    boost::system::error_code addressError;
    asio::ip::tcp::endpoint address(asio::ip::make_address(settings.host, addressError), settings.port);
    ws::lib::error_code ec = addressError;
    if (!ec)
        server.listen(address, ec);
    if (!ec)
        server.start_accept(ec);
    if (ec)
        throw PeerListenFailure(ec.message());
    m_port = server.get_local_endpoint(addressError).port();
}

// Sets the handlers of one connection. They refer to the state weakly, as the state owns the connection's endpoint.
template <typename ServerConfig, typename ClientConfig>
template <typename Connection>
void WebSocketTransport<ServerConfig, ClientConfig>::setConnectionHandlers(const std::shared_ptr<State>& state, LinkId id, const Connection& connection)
{
    std::weak_ptr<State> weak = state;
    bool isInbound = connection->is_server();
    auto onClosed = [weak, id, isInbound, raw = connection.get()](const ws::connection_hdl&) {
        auto it = weak.lock();
        if (!it || it->links.erase(id) == 0)
            return;
        it->inbound -= isInbound ? 1 : 0;
        it->handlers.closed(id, raw->get_ec().message());
    };
    connection->set_close_handler(onClosed);
    connection->set_fail_handler(onClosed);
    connection->set_message_handler([weak, id](const ws::connection_hdl&, const auto& message) {
        auto it = weak.lock();
        if (it && !it->stopped)
            it->handlers.received(id, message->get_payload());
    });
    connection->set_pong_handler([weak, id](const ws::connection_hdl&, const std::string&) {
        auto it = weak.lock();
        if (it && !it->stopped)
            it->handlers.pongReceived(id);
    });
}

template <typename ServerConfig, typename ClientConfig>
LinkId WebSocketTransport<ServerConfig, ClientConfig>::connect(const std::string& host, std::uint16_t port)
{
    LinkId id = m_state->nextLink++;
    auto uri = std::make_shared<ws::uri>(isTls, host, port, resourcePath);
    ws::lib::error_code ec;
    auto connection = m_state->client.get_connection(uri, ec);
    if (ec) {
        asio::post(m_io, [state = m_state, id, ec] {
            if (!state->stopped)
                state->handlers.closed(id, ec.message());
        });
        return id;
    }
    setConnectionHandlers(m_state, id, connection);
    connection->set_open_handler([weak = std::weak_ptr<State>(m_state), id](const ws::connection_hdl&) {
        auto state = weak.lock();
        if (state && !state->stopped)
            state->handlers.opened(id);
    });
    m_state->links.emplace(id, Link { connection->get_handle(), false });
    pruneExpired(*m_state);
    m_state->connections.push_back(connection->get_handle());
    m_state->client.connect(connection);
    return id;
}

template <typename ServerConfig, typename ClientConfig>
template <typename Action>
void WebSocketTransport<ServerConfig, ClientConfig>::withConnection(LinkId id, Action action) const
{
    auto it = m_state->links.find(id);
    if (it == m_state->links.end())
        return;
    ws::lib::error_code ec;
    auto act = [&](const auto& connection) {
        if (connection)
            action(*connection);
    };
    if (it->second.isInbound)
        act(m_state->server.get_con_from_hdl(it->second.handle, ec));
    else
        act(m_state->client.get_con_from_hdl(it->second.handle, ec));
}

template <typename ServerConfig, typename ClientConfig>
bool WebSocketTransport<ServerConfig, ClientConfig>::send(LinkId id, const std::string& frame)
{
    bool sent = false;
    withConnection(id, [&](auto& connection) { sent = !connection.send(frame, ws::frame::opcode::binary); });
    return sent;
}

template <typename ServerConfig, typename ClientConfig>
void WebSocketTransport<ServerConfig, ClientConfig>::ping(LinkId id)
{
    withConnection(id, [](auto& connection) {
        ws::lib::error_code ec;
        connection.ping({}, ec);
    });
}

template <typename ServerConfig, typename ClientConfig>
std::size_t WebSocketTransport<ServerConfig, ClientConfig>::queuedBytes(LinkId id) const
{
    std::size_t n = 0;
    withConnection(id, [&](auto& connection) { n = connection.get_buffered_amount(); });
    return n;
}

template <typename ServerConfig, typename ClientConfig>
void WebSocketTransport<ServerConfig, ClientConfig>::close(LinkId id, const std::string& reason)
{
    withConnection(id, [&](auto& connection) {
        ws::lib::error_code ec;
        connection.close(ws::close::status::going_away, reason, ec);
    });
}

template <typename ServerConfig, typename ClientConfig>
void WebSocketTransport<ServerConfig, ClientConfig>::stop()
{
    if (m_state->stopped)
        return;
    m_state->stopped = true;
    ws::lib::error_code ec;
    m_state->server.stop_listening(ec);
    for (const auto& [id, link] : std::map(m_state->links))
        close(id, "stop");
    m_state->links.clear();
    releaseWhenUnused(m_io, m_state);
}

std::unique_ptr<PeerTransport> makePeerTransport(asio::io_context& io, const PeerTransportSettings& settings, const PeerTransportHandlers& handlers)
{
    if (settings.certificateFile.empty())
        return std::make_unique<WebSocketTransport<PlainServer, PlainClient>>(io, settings, handlers);
    return std::make_unique<WebSocketTransport<TlsServer, TlsClient>>(io, settings, handlers);
}

} // namespace basilpoint
