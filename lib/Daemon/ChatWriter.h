#pragma once

#include "TurnStream.h"

#include "basilpoint/Net/HttpServer.h"

#include <string>

namespace basilpoint {

/// How one caller wants the answer of a model call.
struct ChatAnswerForm {
    std::string model;
    bool stream = false;
    /// Content bytes that the caller has already; from Last-Event-ID.
    std::size_t offset = 0;
};

/// Sends the answer of a running call as it comes; the last event follows only once it is journalled.
/// \throws ConnectionLostError if the caller is gone, and what the call failed with.
void sendRunningTurn(ResponseWriter&, const ChatAnswerForm&, TurnStream&);

/// Sends an answer that is in the journal. \p message is the assistant's message as JSON.
void sendFinishedTurn(ResponseWriter&, const ChatAnswerForm&, const std::string& message);

} // namespace basilpoint
