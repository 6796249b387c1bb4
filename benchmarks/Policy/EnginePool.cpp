#include "EnginePool.h"

namespace basilpoint::bench {

// Transfer rate of caches between engines.
static constexpr double moveTokensPerSecond = 100'000;

EnginePool::EnginePool(EventQueue& events, EngineSettings settings, ReportSettings reports, Hooks hooks, RandomEngine::result_type seed)
    : m_events(events)
    , m_settings(settings)
    , m_reports(reports)
    , m_hooks(std::move(hooks))
    , m_random(seed)
{
}

void EnginePool::start(const TargetId& target)
{
    std::uint64_t incarnation = m_nextIncarnation++;
    m_engines.insert_or_assign(target, Engine { EngineFake(m_settings), {}, incarnation, false });
    reportLater(target, incarnation);
}

std::vector<CallId> EnginePool::kill(const TargetId& target)
{
    auto node = m_engines.extract(target);
    if (node.empty())
        return {};
    const Engine& stopped = node.mapped();
    m_recomputedByStopped += stopped.fake.recomputedTokens();
    m_prefilledByStopped += stopped.fake.prefilledTokens();
    return { stopped.calls.begin(), stopped.calls.end() };
}

std::vector<TargetId> EnginePool::targets() const
{
    std::vector<TargetId> targets;
    for (const auto& [target, engine] : m_engines)
        targets.push_back(target);
    return targets;
}

void EnginePool::send(const TargetId& target, const EngineCall& call)
{
    Engine& engine = m_engines.at(target);
    engine.calls.insert(call.id);
    engine.fake.enqueue(call);
    step(target);
}

void EnginePool::cancel(const TargetId& target, CallId id)
{
    auto it = m_engines.find(target);
    if (it == m_engines.end())
        return;
    it->second.calls.erase(id);
    it->second.fake.cancel(id);
}

void EnginePool::release(const TargetId& target, const ProgramId& program)
{
    auto it = m_engines.find(target);
    if (it != m_engines.end())
        it->second.fake.release(program);
}

void EnginePool::move(const ProgramId& program, const TargetId& from, const TargetId& to)
{
    auto it = m_engines.find(from);
    TokenCount tokens = it == m_engines.end() ? 0 : it->second.fake.exportCache(program);
    if (tokens == 0)
        return;
    m_events.after(static_cast<double>(tokens) / moveTokensPerSecond, [this, program, to, tokens] {
        auto receiver = m_engines.find(to);
        if (receiver != m_engines.end())
            receiver->second.fake.importCache(program, tokens);
    });
}

void EnginePool::step(const TargetId& target)
{
    Engine& engine = m_engines.at(target);
    if (engine.stepping)
        return;
    double seconds = engine.fake.beginStep();
    if (seconds == 0)
        return;
    engine.stepping = true;
    m_events.after(seconds, [this, target, incarnation = engine.incarnation] { finishStep(target, incarnation); });
}

void EnginePool::finishStep(const TargetId& target, std::uint64_t incarnation)
{
    auto it = m_engines.find(target);
    if (it == m_engines.end() || it->second.incarnation != incarnation)
        return;
    Engine& engine = it->second;
    engine.stepping = false;
    StepResult result = engine.fake.finishStep();
    for (CallId id : result.finished)
        engine.calls.erase(id);
    for (const ProgramId& program : result.evicted)
        reportEviction(target, program);
    for (CallId id : result.firstTokens)
        m_hooks.firstToken(id);
    for (CallId id : result.finished)
        m_hooks.finished(id);
    if (isRunning(target))
        step(target);
}

void EnginePool::reportEviction(const TargetId& target, const ProgramId& program)
{
    bool lost = std::bernoulli_distribution(m_reports.lostShare)(m_random);
    double lag = std::exponential_distribution<double>(1 / m_reports.cacheEventLag)(m_random);
    m_events.after(lag, [this, target, program, lost] {
        if (lost)
            m_hooks.eventsMissed(target);
        else
            m_hooks.evicted(target, program);
    });
}

void EnginePool::reportLater(const TargetId& target, std::uint64_t incarnation)
{
    m_events.after(m_reports.interval, [this, target, incarnation] {
        auto it = m_engines.find(target);
        if (it == m_engines.end() || it->second.incarnation != incarnation)
            return;
        const EngineFake& fake = it->second.fake;
        LoadReport report { target, fake.running(), fake.waiting(), fake.cacheUse(), m_events.now() };
        if (!std::bernoulli_distribution(m_reports.lostShare)(m_random))
            m_events.after(m_reports.lag, [this, report] { m_hooks.report(report); });
        reportLater(target, incarnation);
    });
}

TokenCount EnginePool::recomputedTokens() const
{
    TokenCount sum = m_recomputedByStopped;
    for (const auto& [target, engine] : m_engines)
        sum += engine.fake.recomputedTokens();
    return sum;
}

TokenCount EnginePool::prefilledTokens() const
{
    TokenCount sum = m_prefilledByStopped;
    for (const auto& [target, engine] : m_engines)
        sum += engine.fake.prefilledTokens();
    return sum;
}

EnginePool::IdleUse EnginePool::idleUse(const std::function<bool(const ProgramId&)>& hasEnded) const
{
    IdleUse use;
    double whole = static_cast<double>(m_settings.cacheTokens) * static_cast<double>(std::max<std::size_t>(1, m_engines.size()));
    for (const auto& [target, engine] : m_engines) {
        engine.fake.eachIdle([&](const ProgramId& program, TokenCount tokens) {
            double share = static_cast<double>(tokens) / whole;
            use.idle += share;
            use.ended += hasEnded(program) ? share : 0;
        });
    }
    return use;
}

} // namespace basilpoint::bench
