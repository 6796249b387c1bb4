#pragma once

#include "basilpoint/Net/HttpServer.h"

#include <functional>
#include <map>

namespace basilpoint {

/// Serves calls of other daemons.
class PeerServer {
public:
    /// Returns the answer to a call with this body, or an empty string if nothing was found. An Error that it throws is
    /// sent as status 503.
    using Handler = std::function<std::string(const std::string& body)>;

    PeerServer(boost::asio::io_context&, const Endpoint&);

    void on(const std::string& path, Handler handler) { m_handlers[path] = std::move(handler); }
    /// Sets the handler of calls whose answers have headers, or are streams. It sends the answer itself.
    void onRequest(const std::string& path, HttpServer::Handler handler) { m_requestHandlers[path] = std::move(handler); }
    /// Makes calls be read only if they fit into \p budget.
    void setMemory(MemoryBudget& budget);
    void start() { m_server.start(); }
    /// As HttpServer::onFault().
    void onFault(HttpServer::FaultHandler handler) { m_server.onFault(std::move(handler)); }
    /// Makes other daemons close their connections, but continues to accept calls.
    void announceClose() { m_server.announceClose(); }
    /// Stops accepting calls.
    void stop() { m_server.stop(); }
    /// Actual address, if the port was 0.
    Endpoint endpoint() const { return m_server.endpoint(); }

private:
    void handle(const HttpRequest&, ResponseWriter&);

    std::map<std::string, Handler> m_handlers;
    std::map<std::string, HttpServer::Handler> m_requestHandlers;
    HttpServer m_server;
};

} // namespace basilpoint
