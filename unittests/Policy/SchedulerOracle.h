#pragma once

#include "basilpoint/Policy/ModelScheduler.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <stdexcept>

namespace basilpoint {

/// Test oracle that drives a ModelScheduler and checks each action against a simple model of the allowed ones.
class SchedulerOracle {
public:
    struct Waiting {
        ModelCall call;
        TimePoint since;
    };
    struct Running {
        std::uint64_t incarnation = 0;
        ModelCall call;
        TargetId target;
        bool alone = false;
    };

    explicit SchedulerOracle(SchedulerSettings);

    void addTarget(const std::string& target);
    void leave(const std::string& target);
    /// Crashes the target and returns the calls that it ran.
    std::vector<ModelCall> kill(const std::string& target);
    /// Submits a call of \p program and returns its id. A \p content of 0 leaves the digest unknown.
    CallId submit(const std::string& program, std::uint64_t content, std::optional<Milliseconds> deadline = {}, const std::string& environment = "annex", const std::string& owner = "societies");
    void end(CallId, CallEnd = CallEnd::Finished);
    void endAll();
    void cancel(CallId);
    void endProgram(const std::string& program);
    void advance(Milliseconds);
    void setEnvironmentLimit(const std::string& environment, unsigned limit);
    void apply(const SchedulerActions&);

    bool isRunning(CallId id) const { return running.contains(id); }
    bool isWaiting(CallId id) const { return waiting.contains(id); }
    std::optional<RefusalReason> refusal(CallId id) const;
    std::optional<TargetId> targetOf(CallId id) const;
    std::set<TargetId> targetsOfRunning() const;

    SchedulerSettings settings;
    ModelScheduler scheduler;
    TimePoint now { std::chrono::hours(1) };
    std::map<CallId, Waiting> waiting;
    std::map<CallId, Running> running;
    std::map<CallId, RefuseAction> refused;
    std::set<std::string> live;
    std::set<TargetId> leaving;
    /// Digests that were in flight at one crash without known cause, and the incarnation that crashed.
    std::map<Digest, std::uint64_t> suspects;
    /// Incarnations whose crash is attributed to a quarantined digest.
    std::set<std::uint64_t> attributed;
    std::set<Digest> quarantined;
    std::vector<ReleaseCacheAction> released;
    std::vector<MoveCacheAction> moved;

private:
    void check(const DispatchAction&);
    void check(const RefuseAction&);
    void check(const ReleaseCacheAction&);
    void check(const MoveCacheAction&);
    void check(const QuarantineAction&);
    void check(const SuspectAction&) { }
    void recordCrash(const Running&);
    void checkAging(const Waiting& dispatched) const;
    std::size_t runningAt(const TargetId&) const;
    std::size_t runningIn(const EnvironmentId&) const;

    std::map<EnvironmentId, unsigned> m_environmentLimits;
    std::uint64_t m_nextCall = 1;
    std::map<std::string, std::uint64_t> m_incarnations;
    std::uint64_t m_nextIncarnation = 1;
};

/// Thrown when an action violates a rule; an exception lets RapidCheck shrink the preceding events.
class RuleViolation final : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

} // namespace basilpoint
