#include "SchedulerOracle.h"

#include <algorithm>

namespace basilpoint {

static const std::string model = "statement-model";

static void require(bool holds, const char* rule)
{
    if (!holds)
        throw RuleViolation(rule);
}

SchedulerOracle::SchedulerOracle(SchedulerSettings chosen)
    : settings(chosen)
    , scheduler(chosen, 7)
{
}

void SchedulerOracle::addTarget(const std::string& target)
{
    if (!live.contains(target))
        m_incarnations[target] = m_nextIncarnation++;
    live.insert(target);
    leaving.erase(TargetId(target));
    apply(scheduler.addTarget(TargetId(target), model, now));
}

void SchedulerOracle::leave(const std::string& target)
{
    leaving.insert(TargetId(target));
    apply(scheduler.targetLeaving(TargetId(target), now));
}

std::vector<ModelCall> SchedulerOracle::kill(const std::string& target)
{
    std::vector<ModelCall> lost;
    live.erase(target);
    for (const auto& [id, call] : running) {
        if (call.target == TargetId(target))
            lost.push_back(call.call);
    }
    apply(scheduler.removeTarget(TargetId(target), now));
    for (const ModelCall& call : lost)
        end(call.id, CallEnd::TargetCrashed);
    return lost;
}

CallId SchedulerOracle::submit(const std::string& program, std::uint64_t content, std::optional<Milliseconds> deadline, const std::string& environment, const std::string& owner)
{
    ModelCall call;
    call.id = CallId(m_nextCall++);
    call.program = call.root = ProgramId(program);
    call.environment = EnvironmentId(environment);
    call.owner = OperatorId(owner);
    call.model = model;
    call.promptTokens = 1'000;
    call.maxOutput = 100;
    call.content = content ? Digest { 1, content } : Digest();
    if (deadline)
        call.deadline = now + *deadline;
    waiting[call.id] = { call, now };
    apply(scheduler.submit(call, now));
    return call.id;
}

void SchedulerOracle::end(CallId id, CallEnd how)
{
    auto node = running.extract(id);
    if (node.empty())
        return;
    if (how == CallEnd::TargetCrashed)
        recordCrash(node.mapped());
    if (how == CallEnd::Finished)
        suspects.erase(node.mapped().call.content);
    apply(scheduler.callEnded(id, how, 50, now));
}

void SchedulerOracle::recordCrash(const Running& lostCall)
{
    const Digest& content = lostCall.call.content;
    auto it = suspects.find(content);
    if (content == Digest() || quarantined.contains(content) || (it != suspects.end() && it->second == lostCall.incarnation))
        return;
    if (it == suspects.end()) {
        if (!attributed.contains(lostCall.incarnation))
            suspects[content] = lostCall.incarnation;
        return;
    }
    attributed.insert({ it->second, lostCall.incarnation });
    quarantined.insert(content);
    suspects.erase(it);
    std::erase_if(suspects, [&](const auto& entry) { return attributed.contains(entry.second); });
}

void SchedulerOracle::endAll()
{
    std::vector<CallId> ids;
    for (const auto& [id, call] : running)
        ids.push_back(id);
    for (CallId id : ids)
        end(id);
}

void SchedulerOracle::cancel(CallId id)
{
    if (waiting.erase(id))
        apply(scheduler.cancelWaiting(id, now));
}

void SchedulerOracle::endProgram(const std::string& program)
{
    apply(scheduler.programEnded(ProgramId(program), now));
}

void SchedulerOracle::advance(Milliseconds span)
{
    static constexpr Milliseconds step { 100 };
    for (Milliseconds passed { 0 }; passed < span; passed += step) {
        now += step;
        apply(scheduler.tick(now));
    }
}

void SchedulerOracle::setEnvironmentLimit(const std::string& environment, unsigned limit)
{
    m_environmentLimits[EnvironmentId(environment)] = limit;
    scheduler.setEnvironmentLimit(EnvironmentId(environment), limit);
}

void SchedulerOracle::apply(const SchedulerActions& actions)
{
    for (const SchedulerAction& action : actions)
        std::visit([&](const auto& typed) { check(typed); }, action);
    require(scheduler.waiting() == waiting.size(), "the scheduler and the oracle must count the same waiting calls");
    require(scheduler.running() == running.size(), "the scheduler and the oracle must count the same running calls");
}

std::optional<RefusalReason> SchedulerOracle::refusal(CallId id) const
{
    auto it = refused.find(id);
    return it == refused.end() ? std::nullopt : std::optional(it->second.reason);
}

std::optional<TargetId> SchedulerOracle::targetOf(CallId id) const
{
    auto it = running.find(id);
    return it == running.end() ? std::nullopt : std::optional(it->second.target);
}

std::set<TargetId> SchedulerOracle::targetsOfRunning() const
{
    std::set<TargetId> targets;
    for (const auto& [id, call] : running)
        targets.insert(call.target);
    return targets;
}

std::size_t SchedulerOracle::runningAt(const TargetId& target) const
{
    return static_cast<std::size_t>(std::count_if(running.begin(), running.end(), [&](const auto& entry) { return entry.second.target == target; }));
}

std::size_t SchedulerOracle::runningIn(const EnvironmentId& environment) const
{
    return static_cast<std::size_t>(std::count_if(running.begin(), running.end(), [&](const auto& entry) { return entry.second.call.environment == environment; }));
}

void SchedulerOracle::checkAging(const Waiting& dispatched) const
{
    for (const auto& waitingEntry : waiting) {
        const Waiting& other = waitingEntry.second;
        const Digest& content = other.call.content;
        bool aged = other.since < dispatched.since && now - other.since >= settings.agingBound;
        auto limit = m_environmentLimits.find(other.call.environment);
        bool limited = limit != m_environmentLimits.end() && runningIn(other.call.environment) >= limit->second;
        bool suspect = suspects.contains(content);
        bool copied = content != Digest() && std::any_of(running.begin(), running.end(), [&](const auto& entry) { return entry.second.call.content == content; });
        require(!aged || limited || suspect || copied, "no call may precede one that arrived earlier and is past the aging bound");
    }
}

void SchedulerOracle::check(const DispatchAction& action)
{
    auto node = waiting.extract(action.call);
    require(!node.empty(), "only a waiting call may be dispatched, and only once");
    const ModelCall& call = node.mapped().call;
    require(live.contains(action.target.text()) && !leaving.contains(action.target), "calls may go only to live targets that are not leaving");
    require(runningAt(action.target) < settings.maxRunningPerTarget, "a target must not exceed its limit of concurrent calls");
    auto limit = m_environmentLimits.find(call.environment);
    require(limit == m_environmentLimits.end() || runningIn(call.environment) < limit->second, "an environment must not exceed its limit of concurrent calls");
    require(!quarantined.contains(call.content), "a quarantined request must not be dispatched");
    bool suspect = suspects.contains(call.content);
    require(!suspect || runningAt(action.target) == 0, "a suspect must start on an idle target");
    for (const auto& [id, other] : running)
        require(other.target != action.target || !other.alone, "no call may be dispatched to a target that runs a suspect");
    if (!suspect)
        checkAging(node.mapped());
    running[action.call] = { m_incarnations.at(action.target.text()), call, action.target, suspect };
}

void SchedulerOracle::check(const RefuseAction& action)
{
    require(waiting.erase(action.call) == 1, "only a waiting call may be refused, and only once");
    refused[action.call] = action;
}

void SchedulerOracle::check(const ReleaseCacheAction& action)
{
    require(live.contains(action.target.text()), "only a live target may be told to release a cache");
    released.push_back(action);
}

void SchedulerOracle::check(const MoveCacheAction& action)
{
    require(live.contains(action.from.text()) && live.contains(action.to.text()) && action.from != action.to, "a cache may be moved only between two live targets");
    require(!leaving.contains(action.to), "no cache may be moved to a leaving target");
    moved.push_back(action);
}

void SchedulerOracle::check(const QuarantineAction& action)
{
    require(quarantined.contains(action.content), "only a request in flight at two crashes may be quarantined");
}

} // namespace basilpoint
