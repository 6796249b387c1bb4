#pragma once

#include "basilpoint/Policy/ModelScheduler.h"

#include <memory>

namespace basilpoint::bench {

/// Interface of the scheduler's events and actions, shared by the scheduler and the baseline policies.
class Policy {
public:
    virtual ~Policy() = default;

    virtual SchedulerActions addTarget(const TargetId&, TimePoint now) = 0;
    virtual SchedulerActions removeTarget(const TargetId&, TimePoint now) = 0;
    virtual SchedulerActions submit(const ModelCall&, TimePoint now) = 0;
    virtual SchedulerActions cancelWaiting(CallId, TimePoint now) = 0;
    virtual SchedulerActions firstToken(CallId, TimePoint now) = 0;
    virtual SchedulerActions callEnded(CallId, CallEnd, TokenCount outputTokens, TimePoint now) = 0;
    virtual SchedulerActions loadReported(const LoadReport&, TimePoint now) = 0;
    virtual SchedulerActions cacheEvicted(const TargetId&, const ProgramId&, TimePoint now) = 0;
    virtual SchedulerActions cacheEventsMissed(const TargetId&, TimePoint now) = 0;
    virtual SchedulerActions toolStarted(const ProgramId&, const std::string& tool, TimePoint now) = 0;
    virtual SchedulerActions toolEnded(const ProgramId&, TimePoint now) = 0;
    virtual SchedulerActions programEnded(const ProgramId&, TimePoint now) = 0;
    virtual SchedulerActions tick(TimePoint now) = 0;
};

enum class PolicyKind {
    /// The scheduler itself.
    Basilpoint,
    /// First come, first served; round robin over the replicas.
    RoundRobin,
    /// First come, first served; to the replica with the fewest running calls.
    LeastLoad,
    /// All calls of a program go to the replica that had the least load at the first one.
    PrefixSticky,
};

inline constexpr PolicyKind allPolicies[] { PolicyKind::Basilpoint, PolicyKind::RoundRobin, PolicyKind::LeastLoad, PolicyKind::PrefixSticky };

std::string nameOf(PolicyKind);
std::unique_ptr<Policy> makePolicy(PolicyKind, const SchedulerSettings&, RandomEngine::result_type seed);

} // namespace basilpoint::bench
