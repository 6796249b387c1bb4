#pragma once

#include "basilpoint/Net/HttpServer.h"
#include "basilpoint/Support/Clock.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace basilpoint::standin {

/// What a stand-in is told on its command line.
struct StandInSettings {
    /// Engine: time to the first token per 1,000 prompt tokens.
    Milliseconds prefillPerThousand { 20 };
    /// Engine: time between two tokens.
    Milliseconds perToken { 2 };
    /// Engine: tokens of an answer when the request sets no limit.
    unsigned answerTokens = 16;
    /// Tool: time to run one call.
    Milliseconds toolDelay { 5 };
};

/// Suspends the calling fiber for \p delay.
void sleepFor(boost::asio::io_context&, Milliseconds delay);

/// Model engine: streamed and plain chat completions, lists of what it served.
HttpServer::Handler makeEngine(boost::asio::io_context&, const StandInSettings&);

/// Tool service that counts the effects of each idempotency key and tells them at GET /effects.
HttpServer::Handler makeTool(boost::asio::io_context&, const StandInSettings&);

/// Key-value service by the v3 JSON gateway; POST /standin/fault sets outages and lost answers.
HttpServer::Handler makeKeyValue(boost::asio::io_context&, const Clock&);

} // namespace basilpoint::standin
