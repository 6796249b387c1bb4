#pragma once

#include "basilpoint/Support/Endpoint.h"

#include <functional>
#include <memory>
#include <string>

namespace basilpoint {

/// Sends \p bytes on a new TCP connection and reads until the other side closes it.
/// \param halfClose whether to shut down the sending side after \p bytes.
std::string exchangeRaw(const Endpoint& to, const std::string& bytes, bool halfClose = false);

/// TCP server that answers the first bytes of each connection, and then closes it or keeps it open without sending.
class RawServer {
public:
    enum class After {
        Close,
        KeepOpen,
    };
    using Answer = std::function<std::string(const std::string& request)>;

    explicit RawServer(After);
    ~RawServer();

    /// Sets the function that computes the response for later connections.
    void answerWith(Answer);
    Endpoint endpoint() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// Response that accepts the WebSocket handshake in \p request.
std::string acceptWebSocket(const std::string& request);

} // namespace basilpoint
