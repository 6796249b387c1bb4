#pragma once

#include "basilpoint/Net/HttpServer.h"
#include "basilpoint/Net/JsonBody.h"
#include "basilpoint/Support/Clock.h"

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
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
    /// Engine: the process exits when a prompt holds this text; empty for never.
    std::string crashOn {};
    /// Engine: tokens of cached prompts that fit into memory.
    std::size_t cacheTokens = 1'000'000;
    /// Engine: whether an order with a lower fencing number than one before is refused.
    bool honoursFencing = true;
    /// Engine: age of what GET /load tells. Platform: age of what GET /instances tells.
    Milliseconds lag { 0 };
};

/// One value as it was some time ago.
template <typename Value>
class LaggingValue {
public:
    explicit LaggingValue(Milliseconds lag)
        : m_lag(lag)
    {
    }

    /// Records the value as of \p now.
    void set(Value value, TimePoint now)
    {
        m_values.emplace_back(now, std::move(value));
        while (m_values.size() > 1 && m_values[1].first + m_lag <= now)
            m_values.pop_front();
    }

    /// \returns the last value that is as old as the lag, or the oldest known.
    const Value& at(TimePoint now)
    {
        while (m_values.size() > 1 && m_values[1].first + m_lag <= now)
            m_values.pop_front();
        return m_values.front().second;
    }

private:
    Milliseconds m_lag;
    std::deque<std::pair<TimePoint, Value>> m_values;
};

void sendJson(ResponseWriter&, const nlohmann::json&);

/// \p handler with the JSON library's exceptions turned into InvalidInputError.
HttpServer::Handler withTypedErrors(HttpServer::Handler handler);

/// Suspends the calling fiber for \p delay.
void sleepFor(boost::asio::io_context&, Milliseconds delay);

/// Model engine: streamed and plain chat completions; GET /load and /cache tell what it holds,
/// POST /orders takes orders with fencing numbers, GET /orders tells those that it took,
/// POST /standin/fault {"leaving": true} announces that it leaves.
HttpServer::Handler makeEngine(boost::asio::io_context&, const Clock&, const StandInSettings&);

/// Tool service that counts the effects of each idempotency key: GET /effects tells them all,
/// GET /calls/KEY what became of one. POST /standin/fault {"hang": N, "loseAnswers": N} lets the
/// next N calls hang before their effect, or lose their answer after it.
HttpServer::Handler makeTool(boost::asio::io_context&, const StandInSettings&);

/// Platform: GET /instances lists live and leaving instances, as POST /standin/instances set them some time ago.
HttpServer::Handler makePlatform(const Clock&, const StandInSettings&);

/// Key-value service by the v3 JSON gateway; POST /standin/fault sets outages and lost answers.
HttpServer::Handler makeKeyValue(boost::asio::io_context&, const Clock&);

} // namespace basilpoint::standin
