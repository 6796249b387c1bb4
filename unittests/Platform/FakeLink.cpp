#include "FakeLink.h"

#include "../EndToEnd/Process.h"
#include "../Net/TestRuntime.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <set>
#include <sys/socket.h>
#include <vector>

namespace basilpoint::test {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// The kernel answers as many connection attempts as the backlog holds, so these connections fill it.
static constexpr int fillers = 4;
static constexpr std::chrono::milliseconds pollInterval { 2 };

std::ostream& operator<<(std::ostream& out, CutKind kind)
{
    switch (kind) {
    case CutKind::Silent:
        return out << "silent";
    case CutKind::Reset:
        return out << "reset";
    case CutKind::RefuseNew:
        return out << "refuse-new";
    }
    return out;
}

static Tcp::endpoint addressOf(const Endpoint& endpoint)
{
    return { asio::ip::make_address(endpoint.host), endpoint.port };
}

struct FakeLink::State {
    explicit State(asio::io_context& context, Endpoint target)
        : io(context)
        , to(std::move(target))
        , acceptor(context)
    {
    }

    asio::io_context& io;
    Endpoint to;
    Endpoint own;
    Tcp::acceptor acceptor;
    std::vector<Tcp::socket> backlogFillers;
    std::set<Tcp::socket*> sockets;
    bool isSilent = false;
    bool isStopped = false;
    unsigned connections = 0;
};

static void closeWithReset(Tcp::socket& socket)
{
    boost::system::error_code ec;
    socket.set_option(asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
}

// Bytes that arrive during a silent cut are held back until it ends.
template <typename LinkState>
static void pump(const std::shared_ptr<LinkState>& state, Tcp::socket& from, Tcp::socket& to)
{
    std::array<char, 16 * 1024> buf;
    for (;;) {
        auto read = awaitIo([&](auto handler) { from.async_read_some(asio::buffer(buf), std::move(handler)); });
        while (state->isSilent && !state->isStopped)
            pause(pollInterval);
        boost::system::error_code ignored;
        if (read.ec && read.ec != asio::error::eof)
            closeWithReset(to);
        if (read.ec) {
            to.shutdown(Tcp::socket::shutdown_send, ignored);
            return;
        }
        if (awaitIo([&](auto handler) { asio::async_write(to, asio::buffer(buf, read.size), std::move(handler)); }).ec) {
            closeWithReset(from);
            return;
        }
    }
}

template <typename LinkState>
static void serve(const std::shared_ptr<LinkState>& state, const std::shared_ptr<Tcp::socket>& caller)
{
    auto target = std::make_shared<Tcp::socket>(state->io);
    if (awaitIo([&](auto handler) { target->async_connect(addressOf(state->to), std::move(handler)); }).ec)
        return closeWithReset(*caller);
    ++state->connections;
    state->sockets.insert({ caller.get(), target.get() });
    auto ended = std::make_shared<bool>(false);
    spawnFiber([state, caller, target, ended] {
        pump(state, *target, *caller);
        *ended = true;
    });
    pump(state, *caller, *target);
    while (!*ended)
        pause(pollInterval);
    state->sockets.erase(caller.get());
    state->sockets.erase(target.get());
}

template <typename LinkState>
static void listen(const std::shared_ptr<LinkState>& state)
{
    Tcp::endpoint address = addressOf(state->own);
    state->acceptor.open(address.protocol());
    state->acceptor.set_option(Tcp::acceptor::reuse_address(true));
    state->acceptor.bind(address);
    state->acceptor.listen();
}

template <typename LinkState>
static void acceptAll(const std::shared_ptr<LinkState>& state)
{
    for (;;) {
        auto caller = std::make_shared<Tcp::socket>(state->io);
        if (awaitIo([&](auto handler) { state->acceptor.async_accept(*caller, std::move(handler)); }).ec)
            return;
        spawnFiber([state, caller] { serve(state, caller); });
    }
}

FakeLink::FakeLink(asio::io_context& io, Endpoint to)
    : m_state(std::make_shared<State>(io, std::move(to)))
{
    // Outgoing connections of other processes do not get this port while the link refuses connections.
    m_state->own = { "127.0.0.1", static_cast<std::uint16_t>(freePort()) };
    listen(m_state);
    spawnFiber([state = m_state] { acceptAll(state); });
}

Endpoint FakeLink::endpoint() const
{
    return m_state->own;
}

unsigned FakeLink::connections() const
{
    return m_state->connections;
}

void FakeLink::cut(CutKind kind)
{
    boost::system::error_code ec;
    m_state->acceptor.cancel(ec);
    switch (kind) {
    case CutKind::Silent:
        m_state->isSilent = true;
        ::listen(m_state->acceptor.native_handle(), 0);
        for (int n = 0; n < fillers; ++n) {
            Tcp::socket& filler = m_state->backlogFillers.emplace_back(m_state->io);
            filler.open(Tcp::v4());
            filler.non_blocking(true);
            // Asio's connect() would wait for the result.
            Tcp::endpoint address = addressOf(m_state->own);
            static_cast<void>(::connect(filler.native_handle(), address.data(), static_cast<socklen_t>(address.size())));
        }
        return;
    case CutKind::Reset:
        for (Tcp::socket* it : m_state->sockets)
            closeWithReset(*it);
        m_state->acceptor.close(ec);
        return;
    case CutKind::RefuseNew:
        m_state->acceptor.close(ec);
        return;
    }
}

void FakeLink::heal()
{
    m_state->isSilent = false;
    m_state->backlogFillers.clear();
    if (m_state->acceptor.is_open())
        m_state->acceptor.listen();
    else
        listen(m_state);
    spawnFiber([state = m_state] { acceptAll(state); });
}

void FakeLink::stop()
{
    m_state->isStopped = true;
    m_state->backlogFillers.clear();
    boost::system::error_code ec;
    m_state->acceptor.close(ec);
    for (Tcp::socket* it : m_state->sockets)
        closeWithReset(*it);
}

} // namespace basilpoint::test
