#include "EngineFake.h"

#include <algorithm>

namespace basilpoint::bench {

EngineFake::EngineFake(EngineSettings settings)
    : m_settings(settings)
{
}

void EngineFake::enqueue(const EngineCall& call)
{
    auto later = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const EngineCall& other) { return other.priority > call.priority; });
    m_waiting.insert(later, call);
}

void EngineFake::cancel(CallId id)
{
    std::erase_if(m_waiting, [&](const EngineCall& call) { return call.id == id; });
    auto it = std::find_if(m_batch.begin(), m_batch.end(), [&](const Running& running) { return running.call.id == id; });
    if (it == m_batch.end())
        return;
    m_used -= reservation(it->call);
    m_batch.erase(it);
}

void EngineFake::release(const ProgramId& program)
{
    exportCache(program);
}

TokenCount EngineFake::exportCache(const ProgramId& program)
{
    auto node = m_idleOf.extract(program);
    if (node.empty())
        return 0;
    TokenCount tokens = node.mapped()->tokens;
    m_idle.erase(node.mapped());
    m_used -= tokens;
    return tokens;
}

void EngineFake::importCache(const ProgramId& program, TokenCount tokens)
{
    if (makeRoom(tokens))
        storeIdle(program, tokens);
}

void EngineFake::storeIdle(const ProgramId& program, TokenCount tokens)
{
    exportCache(program);
    m_idle.push_back({ program, tokens });
    m_idleOf[program] = std::prev(m_idle.end());
    m_used += tokens;
}

bool EngineFake::makeRoom(TokenCount tokens)
{
    while (m_used + tokens > m_settings.cacheTokens && !m_idle.empty()) {
        ProgramId oldest = m_idle.front().program;
        exportCache(oldest);
        m_evicted.push_back(oldest);
    }
    return m_used + tokens <= m_settings.cacheTokens;
}

bool EngineFake::admit(const EngineCall& call)
{
    TokenCount idle = exportCache(call.program);
    if (!makeRoom(reservation(call)) && !m_batch.empty()) {
        if (idle > 0)
            storeIdle(call.program, idle);
        return false;
    }
    TokenCount cached = std::min(idle, call.promptTokens);
    // The last prompt token is always computed, because it produces the first output token.
    TokenCount left = std::max<TokenCount>(1, call.promptTokens - cached);
    m_prefilled += left;
    m_recomputed += call.computedBefore - std::min(call.computedBefore, cached);
    m_used += reservation(call);
    m_batch.push_back({ call, left, 0 });
    return true;
}

void EngineFake::fillBatch()
{
    while (!m_waiting.empty() && m_batch.size() < m_settings.maxBatch && admit(m_waiting.front()))
        m_waiting.pop_front();
}

double EngineFake::beginStep()
{
    fillBatch();
    if (m_batch.empty())
        return 0;
    TokenCount chunk = 0;
    for (const Running& running : m_batch)
        chunk = std::min(m_settings.prefillChunk, chunk + running.prefillLeft);
    return m_settings.stepSeconds + m_settings.stepSecondsPerCall * static_cast<double>(m_batch.size()) + static_cast<double>(chunk) / m_settings.prefillTokensPerSecond;
}

StepResult EngineFake::finishStep()
{
    StepResult result;
    TokenCount budget = m_settings.prefillChunk;
    for (Running& running : m_batch) {
        if (running.prefillLeft > 0) {
            TokenCount part = std::min(budget, running.prefillLeft);
            budget -= part;
            running.prefillLeft -= part;
            if (running.prefillLeft > 0)
                continue;
        }
        if (++running.generated == 1)
            result.firstTokens.push_back(running.call.id);
        if (running.generated >= running.call.outputTokens)
            result.finished.push_back(running.call.id);
    }
    std::erase_if(m_batch, [&](const Running& running) {
        if (running.generated < running.call.outputTokens)
            return false;
        m_used -= reservation(running.call);
        storeIdle(running.call.program, reservation(running.call));
        return true;
    });
    result.evicted = std::exchange(m_evicted, {});
    return result;
}

} // namespace basilpoint::bench
