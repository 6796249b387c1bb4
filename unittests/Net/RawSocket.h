#pragma once

#include "basilpoint/Support/Endpoint.h"

#include <functional>
#include <memory>
#include <string>

namespace basilpoint {

/// Sends \p bytes on a plain socket and reads until the other side closes.
/// \param halfClose whether this side says that nothing more comes.
std::string exchangeRaw(const Endpoint& to, const std::string& bytes, bool halfClose = false);

/// Listener that answers each connection's first bytes and then closes it, or keeps it open in silence.
class RawServer {
public:
    enum class After {
        Close,
        Silence,
    };
    using Answer = std::function<std::string(const std::string& request)>;

    explicit RawServer(After);
    ~RawServer();

    /// What the next connections get.
    void answerWith(Answer);
    Endpoint endpoint() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// The answer that opens a WebSocket connection for \p request.
std::string acceptWebSocket(const std::string& request);

} // namespace basilpoint
