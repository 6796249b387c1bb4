#include "RawSocket.h"

#include "TestRuntime.h"

#include "basilpoint/Support/Base64.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <openssl/sha.h>

namespace basilpoint {

using Tcp = boost::asio::ip::tcp;

static constexpr std::size_t bufferBytes = 4'096;

std::string exchangeRaw(const Endpoint& to, const std::string& bytes, bool halfClose)
{
    Tcp::socket socket(testRuntime().io());
    Tcp::endpoint address(boost::asio::ip::make_address(to.host), to.port);
    awaitIo([&](auto handler) { socket.async_connect(address, std::move(handler)); });
    awaitIo([&](auto handler) { boost::asio::async_write(socket, boost::asio::buffer(bytes), std::move(handler)); });
    boost::system::error_code ignored;
    if (halfClose)
        socket.shutdown(Tcp::socket::shutdown_send, ignored);
    std::string answer;
    std::array<char, bufferBytes> buf;
    for (;;) {
        IoResult result = awaitIo([&](auto handler) { socket.async_read_some(boost::asio::buffer(buf), std::move(handler)); });
        answer.append(buf.data(), result.size);
        if (result.ec)
            return answer;
    }
}

struct RawServer::State {
    Tcp::acceptor acceptor { testRuntime().io(), Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0) };
    Answer answer;
    After after = After::Close;
};

template <typename ServerState>
static void answerOne(const std::shared_ptr<ServerState>& state, Tcp::socket socket)
{
    std::array<char, bufferBytes> buf;
    auto read = [&] { return awaitIo([&](auto handler) { socket.async_read_some(boost::asio::buffer(buf), std::move(handler)); }); };
    IoResult request = read();
    const std::string answer = state->answer(std::string(buf.data(), request.size));
    awaitIo([&](auto handler) { boost::asio::async_write(socket, boost::asio::buffer(answer), std::move(handler)); });
    while (state->after == RawServer::After::KeepOpen && !read().ec) {
    }
}

RawServer::RawServer(After after)
    : m_state(std::make_shared<State>())
{
    m_state->after = after;
    spawnFiber([state = m_state] {
        for (;;) {
            auto socket = std::make_shared<Tcp::socket>(testRuntime().io());
            if (awaitIo([&](auto handler) { state->acceptor.async_accept(*socket, std::move(handler)); }).ec)
                return;
            spawnFiber([state, socket] { answerOne(state, std::move(*socket)); });
        }
    });
}

RawServer::~RawServer()
{
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
}

void RawServer::answerWith(Answer answer)
{
    m_state->answer = std::move(answer);
}

Endpoint RawServer::endpoint() const
{
    return { "127.0.0.1", m_state->acceptor.local_endpoint().port() };
}

std::string acceptWebSocket(const std::string& request)
{
    static const std::string name = "Sec-WebSocket-Key: ";
    auto begin = request.find(name) + name.size();
    // GUID of RFC 6455, section 1.3.
    std::string key = request.substr(begin, request.find('\r', begin) - begin) + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";
    std::string digest(SHA_DIGEST_LENGTH, '\0');
    SHA1(reinterpret_cast<const unsigned char*>(key.data()), key.size(), reinterpret_cast<unsigned char*>(digest.data()));
    return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: " + encodeBase64(digest) + "\r\n\r\n";
}

} // namespace basilpoint
