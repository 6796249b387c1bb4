#pragma once

#include "StandIn.h"

#include <list>
#include <nlohmann/json.hpp>
#include <unordered_map>

namespace basilpoint::standin {

/// Prompt cache with limited memory; the program that was used least recently goes first.
class PromptCache {
public:
    explicit PromptCache(std::size_t capacityTokens)
        : m_capacity(capacityTokens)
    {
    }

    /// Notes that \p program now holds \p tokens. \returns the tokens that it held before.
    std::size_t use(const std::string& program, std::size_t tokens);

    void release(const std::string& program);

    /// Tokens by program.
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

/// What the engine stand-in holds.
struct EngineState {
    EngineState(boost::asio::io_context&, const Clock&, const StandInSettings&);

    void enter();
    void leave();
    /// Notes the load as it is now.
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
    /// Most calls that ran at once.
    std::uint64_t mostRunning = 0;
    /// Calls whose caller left before the end.
    std::uint64_t cancelled = 0;
    bool isLeaving = false;
};

} // namespace basilpoint::standin
