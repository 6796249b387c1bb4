#pragma once

#include "TurnStream.h"

#include "basilpoint/Net/HttpServer.h"

#include <string>

namespace basilpoint {

/// Response format that a caller of a model call requested.
struct ChatResponseFormat {
    std::string model;
    bool stream = false;
    /// Number of content bytes that the caller already has; from Last-Event-ID.
    std::size_t offset = 0;
};

/// Sends the answer of a running call as it is generated. The last event is sent after the answer is in the journal.
/// \throws ConnectionLostError if the caller disconnected, or the error with which the call failed.
void sendRunningTurn(ResponseWriter&, const ChatResponseFormat&, TurnStream&);

/// Sends an answer from the journal. \p message is the assistant's message as JSON.
void sendFinishedTurn(ResponseWriter&, const ChatResponseFormat&, const std::string& message);

} // namespace basilpoint
