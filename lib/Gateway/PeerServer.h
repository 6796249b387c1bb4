#pragma once

#include "basilpoint/Net/HttpServer.h"

#include <functional>
#include <map>

namespace basilpoint {

/// Listener for calls of other daemons.
class PeerServer {
public:
    /// Answers a call's body; an empty answer says that there is nothing. A typed error says "not now".
    using Handler = std::function<std::string(const std::string& body)>;

    PeerServer(boost::asio::io_context&, const Endpoint&);

    void on(const std::string& path, Handler handler) { m_handlers[path] = std::move(handler); }
    void start() { m_server.start(); }

private:
    void handle(const HttpRequest&, ResponseWriter&);

    std::map<std::string, Handler> m_handlers;
    HttpServer m_server;
};

} // namespace basilpoint
