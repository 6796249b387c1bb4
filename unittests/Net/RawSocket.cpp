#include "RawSocket.h"

#include "TestRuntime.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

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
    std::string answer;
};

template <typename ServerState>
static void answerOne(const ServerState& state, Tcp::socket& socket)
{
    std::array<char, bufferBytes> buf;
    awaitIo([&](auto handler) { socket.async_read_some(boost::asio::buffer(buf), std::move(handler)); });
    const std::string answer = state.answer;
    awaitIo([&](auto handler) { boost::asio::async_write(socket, boost::asio::buffer(answer), std::move(handler)); });
}

RawServer::RawServer()
    : m_state(std::make_shared<State>())
{
    spawnFiber([state = m_state] {
        for (;;) {
            Tcp::socket socket(testRuntime().io());
            if (awaitIo([&](auto handler) { state->acceptor.async_accept(socket, std::move(handler)); }).ec)
                return;
            answerOne(*state, socket);
        }
    });
}

RawServer::~RawServer()
{
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
}

void RawServer::answerWith(std::string bytes)
{
    m_state->answer = std::move(bytes);
}

Endpoint RawServer::endpoint() const
{
    return { "127.0.0.1", m_state->acceptor.local_endpoint().port() };
}

} // namespace basilpoint
