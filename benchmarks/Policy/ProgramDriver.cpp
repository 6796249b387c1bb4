#include "ProgramDriver.h"

#include <algorithm>

namespace basilpoint::bench {

// Delay before a call lost with its replica is resubmitted.
static constexpr double resendSeconds = 0.2;
// The same delay for the request that crashes replicas.
static constexpr double crashResendSeconds = 2;
// Number of times that the request that crashes replicas is resubmitted.
static constexpr unsigned maxCrashResends = 10;

ProgramDriver::ProgramDriver(EventQueue& events, Policy& policy, RandomEngine::result_type seed)
    : m_events(events)
    , m_policy(policy)
    , m_random(seed)
{
}

ProgramDriver::Run& ProgramDriver::create(const ProgramSpec& spec, Run* parent)
{
    Run& run = m_runs.emplace_back();
    run.spec = &spec;
    run.id = ProgramId("program-" + std::to_string(m_runs.size()));
    run.parent = parent;
    run.root = parent ? parent->root : &run;
    run.arrivedAt = m_events.seconds();
    run.contextTokens = spec.promptTokens;
    m_byId[run.id] = &run;
    return run;
}

void ProgramDriver::begin(const ProgramSpec& spec)
{
    Run& run = create(spec, nullptr);
    m_events.after(spec.deadlineSeconds, [this, &run] { expire(run); });
    submit(run);
}

void ProgramDriver::submit(Run& run)
{
    if (run.ended)
        return;
    ModelCall call;
    call.id = CallId(m_nextCall++);
    call.program = run.id;
    call.root = run.root->id;
    call.owner = OperatorId(run.root->spec->owner);
    call.environment = EnvironmentId(run.root->spec->owner);
    call.model = "shared-model";
    call.promptTokens = run.contextTokens;
    call.maxOutput = 2'000;
    call.content = digestOf(run.id.text() + "/" + std::to_string(run.turn));
    call.deadline = EventQueue::at(run.root->arrivedAt + run.root->spec->deadlineSeconds);
    call.latencyWeight = run.root->spec->latencyWeight;
    call.cacheWeight = run.root->spec->cacheWeight;
    run.call = call.id;
    run.target.reset();
    m_byCall[call.id] = &run;
    apply(m_policy.submit(call, m_events.now()));
}

void ProgramDriver::submitAfter(Run& run, double seconds)
{
    m_events.after(seconds, [this, &run] { submit(run); });
}

ProgramDriver::Run* ProgramDriver::runOf(CallId id)
{
    auto it = m_byCall.find(id);
    return it == m_byCall.end() ? nullptr : it->second;
}

void ProgramDriver::firstToken(CallId id)
{
    if (runOf(id))
        apply(m_policy.firstToken(id, m_events.now()));
}

void ProgramDriver::finished(CallId id)
{
    Run* run = runOf(id);
    if (!run)
        return;
    m_byCall.erase(id);
    run->call.reset();
    const Turn& turn = run->spec->turns[run->turn];
    run->contextTokens += turn.outputTokens;
    run->computedTokens = run->contextTokens;
    apply(m_policy.callEnded(id, CallEnd::Finished, turn.outputTokens, m_events.now()));
    handleAnswer(*run);
}

void ProgramDriver::handleAnswer(Run& run)
{
    if (run.turn + 1 == run.spec->turns.size())
        return end(run, true);
    const Turn& turn = run.spec->turns[run.turn];
    if (turn.subAgents.empty())
        return pause(run);
    run.openSubAgents = static_cast<unsigned>(turn.subAgents.size());
    apply(m_policy.toolStarted(run.id, "sub-agent", m_events.now()));
    for (const ProgramSpec& spec : turn.subAgents)
        submit(create(spec, &run));
}

void ProgramDriver::pause(Run& run)
{
    const Turn& turn = run.spec->turns[run.turn];
    if (!turn.tool.empty())
        apply(m_policy.toolStarted(run.id, turn.tool, m_events.now()));
    m_events.after(turn.pauseSeconds, [this, &run, tool = !turn.tool.empty()] {
        if (run.ended)
            return;
        if (tool)
            apply(m_policy.toolEnded(run.id, m_events.now()));
        finishTurn(run);
    });
}

void ProgramDriver::finishTurn(Run& run)
{
    run.contextTokens += run.spec->turns[run.turn].addedTokens;
    ++run.turn;
    submit(run);
}

void ProgramDriver::subAgentEnded(Run& parent)
{
    if (parent.ended || --parent.openSubAgents > 0)
        return;
    apply(m_policy.toolEnded(parent.id, m_events.now()));
    finishTurn(parent);
}

void ProgramDriver::end(Run& run, bool finished)
{
    if (run.ended)
        return;
    run.ended = true;
    m_byId.erase(run.id);
    apply(m_policy.programEnded(run.id, m_events.now()));
    if (run.parent)
        return subAgentEnded(*run.parent);
    double latency = finished ? m_events.seconds() - run.arrivedAt : run.spec->deadlineSeconds;
    m_outcomes.push_back({ run.spec, run.arrivedAt, latency, finished });
}

void ProgramDriver::expire(Run& root)
{
    if (root.ended)
        return;
    for (auto& entry : std::unordered_map<ProgramId, Run*>(m_byId)) {
        Run& run = *entry.second;
        if (run.root != &root || &run == &root)
            continue;
        run.parent = &root;
        expire(run);
    }
    if (root.call) {
        CallId id = *root.call;
        m_byCall.erase(id);
        root.call.reset();
        if (root.target) {
            m_engines->cancel(*root.target, id);
            apply(m_policy.callEnded(id, CallEnd::Cancelled, 0, m_events.now()));
        } else {
            apply(m_policy.cancelWaiting(id, m_events.now()));
        }
    }
    end(root, false);
}

void ProgramDriver::targetCrashed(const std::vector<CallId>& calls)
{
    for (CallId id : calls) {
        Run* run = runOf(id);
        if (!run)
            continue;
        m_byCall.erase(id);
        run->call.reset();
        run->target.reset();
        apply(m_policy.callEnded(id, CallEnd::TargetCrashed, 0, m_events.now()));
        if (run->spec->crashes && ++run->crashes > maxCrashResends)
            end(*run, false);
        else
            submitAfter(*run, run->spec->crashes ? crashResendSeconds : resendSeconds);
    }
}

void ProgramDriver::apply(const SchedulerActions& actions)
{
    for (const SchedulerAction& action : actions)
        std::visit([&](const auto& typed) { execute(typed); }, action);
}

void ProgramDriver::execute(const DispatchAction& action)
{
    Run& run = *m_byCall.at(action.call);
    run.target = action.target;
    const Turn& turn = run.spec->turns[run.turn];
    m_engines->send(action.target, { action.call, run.id, run.contextTokens, turn.outputTokens, run.computedTokens, action.priority });
    if (run.spec->crashes && onCrashRequestSent)
        onCrashRequestSent(action.target);
}

void ProgramDriver::execute(const RefuseAction& action)
{
    ++m_refusals;
    Run& run = *m_byCall.at(action.call);
    m_byCall.erase(action.call);
    run.call.reset();
    bool final = action.reason == RefusalReason::Quarantined || action.reason == RefusalReason::DeadlineUnreachable || !action.retryAfter;
    if (final)
        return end(run, false);
    double seconds = std::chrono::duration<double>(*action.retryAfter).count();
    submitAfter(run, seconds * std::uniform_real_distribution<double>(1, 1.5)(m_random));
}

void ProgramDriver::execute(const ReleaseCacheAction& action)
{
    m_engines->release(action.target, action.program);
}

void ProgramDriver::execute(const MoveCacheAction& action)
{
    m_engines->move(action.program, action.from, action.to);
}

} // namespace basilpoint::bench
