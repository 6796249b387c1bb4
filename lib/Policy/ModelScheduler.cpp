#include "basilpoint/Policy/ModelScheduler.h"

#include "SchedulerState.h"

namespace basilpoint {

struct ModelScheduler::Impl : SchedulerState {
    using SchedulerState::SchedulerState;
};

ModelScheduler::ModelScheduler(SchedulerSettings settings, RandomEngine::result_type seed)
    : m_impl(std::make_unique<Impl>(settings, seed))
{
}

ModelScheduler::~ModelScheduler() = default;

SchedulerActions ModelScheduler::addTarget(const TargetId& target, const std::string& model, TimePoint now)
{
    m_impl->addTarget(target, model);
    m_impl->dispatchWaiting(model, now);
    return m_impl->takeActions();
}

SchedulerActions ModelScheduler::targetLeaving(const TargetId& target, TimePoint now)
{
    m_impl->targetLeaving(target, now);
    return m_impl->takeActions();
}

SchedulerActions ModelScheduler::removeTarget(const TargetId& target, TimePoint now)
{
    m_impl->removeTarget(target, now);
    return m_impl->takeActions();
}

SchedulerActions ModelScheduler::submit(const ModelCall& call, TimePoint now)
{
    m_impl->submit(call, now);
    return m_impl->takeActions();
}

SchedulerActions ModelScheduler::cancelWaiting(CallId id, TimePoint now)
{
    m_impl->cancelWaiting(id, now);
    return m_impl->takeActions();
}

SchedulerActions ModelScheduler::firstToken(CallId id, TimePoint now)
{
    m_impl->firstToken(id, now);
    return m_impl->takeActions();
}

SchedulerActions ModelScheduler::callEnded(CallId id, CallEnd end, TokenCount outputTokens, TimePoint now)
{
    m_impl->callEnded(id, end, outputTokens, now);
    return m_impl->takeActions();
}

SchedulerActions ModelScheduler::loadReported(const LoadReport& report, TimePoint now)
{
    m_impl->loadReported(report, now);
    return m_impl->takeActions();
}

SchedulerActions ModelScheduler::cacheEvicted(const TargetId& target, const ProgramId& program, TimePoint)
{
    m_impl->cacheEvicted(target, program);
    return {};
}

SchedulerActions ModelScheduler::cacheEventsMissed(const TargetId& target, TimePoint)
{
    m_impl->cacheEventsMissed(target);
    return {};
}

SchedulerActions ModelScheduler::toolStarted(const ProgramId& program, const std::string& tool, TimePoint now)
{
    m_impl->toolStarted(program, tool, now);
    return m_impl->takeActions();
}

SchedulerActions ModelScheduler::toolEnded(const ProgramId& program, TimePoint now)
{
    m_impl->toolEnded(program, now);
    return m_impl->takeActions();
}

SchedulerActions ModelScheduler::programEnded(const ProgramId& program, TimePoint now)
{
    m_impl->programEnded(program, now);
    return m_impl->takeActions();
}

void ModelScheduler::setEnvironmentLimit(const EnvironmentId& environment, unsigned maxRunning)
{
    m_impl->setEnvironmentLimit(environment, maxRunning);
}

void ModelScheduler::setOperatorLimit(const OperatorId& owner, unsigned maxRunning)
{
    m_impl->setOperatorLimit(owner, maxRunning);
}

void ModelScheduler::setOperatorWeight(const OperatorId& owner, double weight)
{
    m_impl->setOperatorWeight(owner, weight);
}

SchedulerActions ModelScheduler::suspected(const Digest& content, TimePoint now)
{
    m_impl->suspected(content, now);
    return m_impl->takeActions();
}

SchedulerActions ModelScheduler::quarantined(const Digest& content, TimePoint now)
{
    m_impl->quarantined(content, now);
    return m_impl->takeActions();
}

void ModelScheduler::liftQuarantine(const Digest& content)
{
    m_impl->liftQuarantine(content);
}

std::vector<Digest> ModelScheduler::quarantinedDigests() const
{
    return m_impl->quarantinedDigests();
}

SchedulerActions ModelScheduler::tick(TimePoint now)
{
    m_impl->tick(now);
    return m_impl->takeActions();
}

std::size_t ModelScheduler::waiting() const
{
    return m_impl->waiting();
}

std::size_t ModelScheduler::running() const
{
    return m_impl->running();
}

std::size_t ModelScheduler::cacheEntryCount() const
{
    return m_impl->cacheEntryCount();
}

} // namespace basilpoint
