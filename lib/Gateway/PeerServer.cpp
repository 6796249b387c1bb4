#include "PeerServer.h"

#include "PeerCall.h"
#include "RelayedCall.h"

#include "basilpoint/Support/Error.h"

namespace basilpoint {

static constexpr int statusUnavailable = 503;
static constexpr int statusNotFound = 404;
// The largest call to the store, since daemons relay such calls.
static constexpr std::size_t maxMessageBytes = 4 * 1024 * 1024;

static HttpLimits peerLimits()
{
    HttpLimits limits;
    limits.maxBodyBytes = maxMessageBytes;
    return limits;
}

PeerServer::PeerServer(boost::asio::io_context& io, const Endpoint& endpoint)
    : m_server(io, endpoint, peerLimits(), [this](const HttpRequest& request, ResponseWriter& writer) { handle(request, writer); })
{
}

// Of a relayed call the gateway that has the caller must know that it has not been taken.
void PeerServer::setMemory(MemoryBudget& budget)
{
    m_server.setMemory(budget, [](const HttpRequest&) {
        return HttpResponse { statusUnavailable, { { relayheaders::end, relayends::notTaken } }, "calls in progress take all memory" };
    });
}

void PeerServer::handle(const HttpRequest& request, ResponseWriter& writer)
{
    if (auto it = m_requestHandlers.find(request.target); it != m_requestHandlers.end())
        return it->second(request, writer);
    auto handler = m_handlers.find(request.target);
    if (handler == m_handlers.end())
        return writer.send({ statusNotFound, {}, {} });
    std::string body;
    try {
        body = handler->second(request.body);
    } catch (const Error& error) {
        // The calling daemon logs the failure.
        return writer.send({ statusUnavailable, { { peerErrorCodeHeader, std::string(error.code()) } }, error.what() });
    }
    int status = body.empty() ? statusNotFound : 200;
    writer.send({ status, {}, std::move(body) });
}

} // namespace basilpoint
