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

/// Settings of a stand-in process.
struct StandInSettings {
    /// Engine: time to the first token per 1,000 uncached prompt tokens.
    Milliseconds prefillPerThousand { 20 };
    /// Engine: time between two tokens of an answer.
    Milliseconds perToken { 2 };
    /// Engine: most tokens of an answer; "max_tokens" of a request can only lower it.
    unsigned answerTokens = 16;
    /// Tool: duration of one call.
    Milliseconds toolDelay { 5 };
    /// Engine: the process exits when a request body contains this text; empty disables this.
    std::string crashOn {};
    /// Engine: capacity of the prompt cache in tokens.
    std::size_t cacheTokens = 1'000'000;
    /// Engine: whether an order is refused if its fencing number is lower than an earlier order's.
    bool honoursFencing = true;
    /// Engine: age of the load that GET /load returns. Platform: age of the list that GET /instances returns.
    Milliseconds lag { 0 };
};

/// A value that readers see with a fixed delay.
template <typename Value>
class LaggingValue {
public:
    explicit LaggingValue(Milliseconds lag)
        : m_lag(lag)
    {
    }

    /// Records \p value as of \p now.
    void set(Value value, TimePoint now)
    {
        m_values.emplace_back(now, std::move(value));
        while (m_values.size() > 1 && m_values[1].first + m_lag <= now)
            m_values.pop_front();
    }

    /// \returns the newest value that is at least as old as the lag, or the oldest one if none is.
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

/// Wraps \p handler so that exceptions of the JSON library are rethrown as InvalidInputError.
HttpServer::Handler withTypedErrors(HttpServer::Handler handler);

/// Suspends the calling fiber for \p delay.
void sleepFor(boost::asio::io_context&, Milliseconds delay);

/// Model engine with streamed and plain chat completions. GET /load returns its load and
/// GET /cache the cached tokens of each program. POST /orders accepts an order with a fencing number,
/// GET /orders returns the last accepted orders. POST /standin/fault {"leaving": true} makes the
/// load report announce that the engine is leaving.
HttpServer::Handler makeEngine(boost::asio::io_context&, const Clock&, const StandInSettings&);

/// Tool service that counts the effects of each idempotency key. GET /effects returns all counts,
/// GET /calls/KEY the last answer for one key. POST /standin/fault {"hang": N, "loseAnswers": N}
/// makes the next N calls hang before their effect, or drops the answers of N calls after their effect.
HttpServer::Handler makeTool(boost::asio::io_context&, const StandInSettings&);

/// Platform service. GET /instances returns the live and leaving instances that
/// POST /standin/instances set, delayed by the lag.
HttpServer::Handler makePlatform(const Clock&, const StandInSettings&);

/// Key-value service with the API of the v3 JSON gateway. POST /standin/fault sets an outage ("down"),
/// a delay of each call ("delayMilliseconds") and the number of transactions whose answers are
/// dropped ("loseAnswers"). /standin/calls returns the number of calls by path.
HttpServer::Handler makeKeyValue(boost::asio::io_context&, const Clock&);

} // namespace basilpoint::standin
