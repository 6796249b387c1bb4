#include "Policies.h"

#include <algorithm>
#include <unordered_map>

namespace basilpoint::bench {

static const std::string model = "shared-model";

namespace {

    class SchedulerPolicy final : public Policy {
    public:
        SchedulerPolicy(const SchedulerSettings& settings, RandomEngine::result_type seed)
            : m_scheduler(settings, seed)
        {
        }

        SchedulerActions addTarget(const TargetId& target, TimePoint now) override { return m_scheduler.addTarget(target, model, now); }
        SchedulerActions removeTarget(const TargetId& target, TimePoint now) override { return m_scheduler.removeTarget(target, now); }
        SchedulerActions submit(const ModelCall& call, TimePoint now) override { return m_scheduler.submit(call, now); }
        SchedulerActions cancelWaiting(CallId id, TimePoint now) override { return m_scheduler.cancelWaiting(id, now); }
        SchedulerActions firstToken(CallId id, TimePoint now) override { return m_scheduler.firstToken(id, now); }
        SchedulerActions callEnded(CallId id, CallEnd end, TokenCount outputTokens, TimePoint now) override { return m_scheduler.callEnded(id, end, outputTokens, now); }
        SchedulerActions loadReported(const LoadReport& report, TimePoint now) override { return m_scheduler.loadReported(report, now); }
        SchedulerActions cacheEvicted(const TargetId& target, const ProgramId& program, TimePoint now) override { return m_scheduler.cacheEvicted(target, program, now); }
        SchedulerActions cacheEventsMissed(const TargetId& target, TimePoint now) override { return m_scheduler.cacheEventsMissed(target, now); }
        SchedulerActions toolStarted(const ProgramId& program, const std::string& tool, TimePoint now) override { return m_scheduler.toolStarted(program, tool, now); }
        SchedulerActions toolEnded(const ProgramId& program, TimePoint now) override { return m_scheduler.toolEnded(program, now); }
        SchedulerActions programEnded(const ProgramId& program, TimePoint now) override { return m_scheduler.programEnded(program, now); }
        SchedulerActions tick(TimePoint now) override { return m_scheduler.tick(now); }

    private:
        ModelScheduler m_scheduler;
    };

    /// Dispatches each call at once; the engines queue first come, first served.
    class ImmediatePolicy : public Policy {
    public:
        SchedulerActions addTarget(const TargetId& target, TimePoint) override
        {
            m_targets.push_back(target);
            m_load[target] = 0;
            // Dispatch the calls that were submitted while there was no target.
            SchedulerActions actions;
            for (const ModelCall& call : std::exchange(m_pending, {}))
                actions.emplace_back(send(call));
            return actions;
        }

        SchedulerActions removeTarget(const TargetId& target, TimePoint) override
        {
            std::erase(m_targets, target);
            m_load.erase(target);
            return {};
        }

        SchedulerActions submit(const ModelCall& call, TimePoint) override
        {
            if (!m_targets.empty())
                return { send(call) };
            m_pending.push_back(call);
            return {};
        }

        SchedulerActions cancelWaiting(CallId id, TimePoint) override
        {
            std::erase_if(m_pending, [&](const ModelCall& call) { return call.id == id; });
            return {};
        }

        SchedulerActions callEnded(CallId id, CallEnd, TokenCount, TimePoint) override
        {
            auto node = m_calls.extract(id);
            if (!node.empty() && m_load.contains(node.mapped()))
                --m_load[node.mapped()];
            return {};
        }

        SchedulerActions firstToken(CallId, TimePoint) override { return {}; }
        SchedulerActions loadReported(const LoadReport&, TimePoint) override { return {}; }
        SchedulerActions cacheEvicted(const TargetId&, const ProgramId&, TimePoint) override { return {}; }
        SchedulerActions cacheEventsMissed(const TargetId&, TimePoint) override { return {}; }
        SchedulerActions toolStarted(const ProgramId&, const std::string&, TimePoint) override { return {}; }
        SchedulerActions toolEnded(const ProgramId&, TimePoint) override { return {}; }
        SchedulerActions programEnded(const ProgramId&, TimePoint) override { return {}; }
        SchedulerActions tick(TimePoint) override { return {}; }

    protected:
        virtual TargetId pick(const ModelCall&) = 0;

        const std::vector<TargetId>& targets() const { return m_targets; }

        TargetId leastLoaded() const
        {
            return *std::min_element(m_targets.begin(), m_targets.end(), [&](const TargetId& a, const TargetId& b) { return m_load.at(a) < m_load.at(b); });
        }

    private:
        DispatchAction send(const ModelCall& call)
        {
            TargetId target = pick(call);
            ++m_load[target];
            m_calls[call.id] = target;
            return { call.id, target, 0 };
        }

        std::vector<TargetId> m_targets;
        std::vector<ModelCall> m_pending;
        std::unordered_map<TargetId, std::size_t> m_load;
        std::unordered_map<CallId, TargetId> m_calls;
    };

    class RoundRobinPolicy final : public ImmediatePolicy {
        TargetId pick(const ModelCall&) override { return targets()[m_next++ % targets().size()]; }

        std::size_t m_next = 0;
    };

    class LeastLoadPolicy final : public ImmediatePolicy {
        TargetId pick(const ModelCall&) override { return leastLoaded(); }
    };

    class PrefixStickyPolicy final : public ImmediatePolicy {
    public:
        SchedulerActions programEnded(const ProgramId& program, TimePoint) override
        {
            m_assigned.erase(program);
            return {};
        }

    private:
        TargetId pick(const ModelCall& call) override
        {
            TargetId& assigned = m_assigned[call.program];
            if (std::find(targets().begin(), targets().end(), assigned) == targets().end())
                assigned = leastLoaded();
            return assigned;
        }

        std::unordered_map<ProgramId, TargetId> m_assigned;
    };

} // namespace

std::string nameOf(PolicyKind kind)
{
    switch (kind) {
    case PolicyKind::Basilpoint:
        return "basilpoint";
    case PolicyKind::RoundRobin:
        return "round-robin";
    case PolicyKind::LeastLoad:
        return "least-load";
    case PolicyKind::PrefixSticky:
        return "prefix-sticky";
    }
    return {};
}

std::unique_ptr<Policy> makePolicy(PolicyKind kind, const SchedulerSettings& settings, RandomEngine::result_type seed)
{
    switch (kind) {
    case PolicyKind::Basilpoint:
        return std::make_unique<SchedulerPolicy>(settings, seed);
    case PolicyKind::RoundRobin:
        return std::make_unique<RoundRobinPolicy>();
    case PolicyKind::LeastLoad:
        return std::make_unique<LeastLoadPolicy>();
    case PolicyKind::PrefixSticky:
        return std::make_unique<PrefixStickyPolicy>();
    }
    return nullptr;
}

} // namespace basilpoint::bench
