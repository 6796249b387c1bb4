#include "EngineState.h"

#include <algorithm>

namespace basilpoint::standin {

std::size_t PromptCache::update(const std::string& program, std::size_t tokens)
{
    if (program.empty())
        return 0;
    auto it = m_index.find(program);
    std::size_t before = it == m_index.end() ? 0 : it->second->tokens;
    evict(program);
    m_entries.push_front({ program, tokens });
    m_index[program] = m_entries.begin();
    m_used += tokens;
    while (m_used > m_capacity)
        evict(std::string(m_entries.back().program));
    return before;
}

void PromptCache::evict(const std::string& program)
{
    auto it = m_index.find(program);
    if (it == m_index.end())
        return;
    m_used -= it->second->tokens;
    m_entries.erase(it->second);
    m_index.erase(it);
}

nlohmann::json PromptCache::programs() const
{
    nlohmann::json result = nlohmann::json::object();
    for (const Entry& entry : m_entries)
        result[entry.program] = entry.tokens;
    return result;
}

EngineState::EngineState(boost::asio::io_context& context, const Clock& time, const StandInSettings& values)
    : io(context)
    , clock(time)
    , settings(values)
    , cache(values.cacheTokens)
    , laggingLoad(values.lag)
{
    recordLoad();
}

void EngineState::beginCall()
{
    peakRunning = std::max(peakRunning, ++running);
    recordLoad();
}

void EngineState::endCall()
{
    --running;
    recordLoad();
}

void EngineState::recordLoad()
{
    laggingLoad.set({ { "served", served }, { "running", running }, { "mostRunning", peakRunning }, { "cancelled", cancelled }, { "cacheTokens", cache.usedTokens() }, { "leaving", isLeaving } }, clock.now());
}

} // namespace basilpoint::standin
