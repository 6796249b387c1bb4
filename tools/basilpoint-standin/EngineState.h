#pragma once

#include "StandIn.h"

#include <list>
#include <nlohmann/json.hpp>
#include <unordered_map>

namespace basilpoint::standin {

/// Simulated prompt cache of bounded size; evicts the least recently used program first.
class PromptCache {
public:
    explicit PromptCache(std::size_t capacityTokens)
        : m_capacity(capacityTokens)
    {
    }

    /// Sets the cached tokens of \p program and makes it the most recently used one.
    /// \returns the tokens that were cached for it before. An empty \p program is not cached.
    std::size_t update(const std::string& program, std::size_t tokens);

    /// Removes \p program from the cache, if present.
    void evict(const std::string& program);

    /// JSON object with the cached tokens of each program.
    nlohmann::json programs() const;
    std::size_t usedTokens() const { return m_used; }

private:
    struct Entry {
        std::string program;
        std::size_t tokens = 0;
    };

    std::size_t m_capacity;
    std::size_t m_used = 0;
    /// Most recently used first.
    std::list<Entry> m_entries;
    std::unordered_map<std::string, std::list<Entry>::iterator> m_index;
};

/// State of the engine stand-in.
struct EngineState {
    EngineState(boost::asio::io_context&, const Clock&, const StandInSettings&);

    void beginCall();
    void endCall();
    /// Records the current load, which GET /load returns after the lag.
    void recordLoad();

    boost::asio::io_context& io;
    const Clock& clock;
    StandInSettings settings;
    PromptCache cache;
    LaggingValue<nlohmann::json> laggingLoad;
    nlohmann::json orders = nlohmann::json::array();
    std::uint64_t highestFencing = 0;
    std::uint64_t served = 0;
    std::uint64_t running = 0;
    /// Highest number of calls that ran concurrently.
    std::uint64_t peakRunning = 0;
    /// Calls whose caller disconnected before the answer was complete.
    std::uint64_t cancelled = 0;
    bool isLeaving = false;
};

} // namespace basilpoint::standin
