#pragma once

#include "basilpoint/Support/Endpoint.h"

#include <memory>
#include <string>

namespace basilpoint {

/// Sends \p bytes on a plain socket and reads until the other side closes.
/// \param halfClose whether this side says that nothing more comes.
std::string exchangeRaw(const Endpoint& to, const std::string& bytes, bool halfClose = false);

/// Listener that answers each connection's first bytes with fixed bytes and closes it.
class RawServer {
public:
    RawServer();
    ~RawServer();

    /// Bytes that the next connections get.
    void answerWith(std::string bytes);
    Endpoint endpoint() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace basilpoint
