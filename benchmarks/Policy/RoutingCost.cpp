#include "RoutingCost.h"

#include "basilpoint/Policy/ModelScheduler.h"

#include <deque>

namespace basilpoint::bench {

static constexpr unsigned callsPerReplica = 12;
static constexpr std::uint64_t measuredCalls = 200'000;
static constexpr unsigned programs = 20'000;

static ModelCall callOf(std::uint64_t n)
{
    ModelCall call;
    call.id = CallId(n + 1);
    call.program = ProgramId("program-" + std::to_string(n % programs));
    call.root = call.program;
    call.owner = OperatorId("operator-" + std::to_string(n % 100));
    call.environment = EnvironmentId("environment-" + std::to_string(n % 100));
    call.model = "shared-model";
    call.promptTokens = 4'000;
    call.content = { n, n };
    return call;
}

double decisionMicroseconds(unsigned replicas)
{
    TimePoint now { std::chrono::hours(1) };
    ModelScheduler scheduler({}, 1);
    for (unsigned n = 0; n < replicas; ++n)
        scheduler.addTarget(TargetId("replica-" + std::to_string(n)), "shared-model", now);
    std::deque<CallId> running;
    std::chrono::nanoseconds spent { 0 };
    for (std::uint64_t n = 0; n < measuredCalls; ++n) {
        ModelCall call = callOf(n);
        now += std::chrono::milliseconds(1);
        auto begin = std::chrono::steady_clock::now();
        scheduler.submit(call, now);
        running.push_back(call.id);
        if (running.size() > static_cast<std::size_t>(callsPerReplica) * replicas) {
            scheduler.callEnded(running.front(), CallEnd::Finished, 100, now);
            running.pop_front();
        }
        spent += std::chrono::steady_clock::now() - begin;
    }
    return std::chrono::duration<double, std::micro>(spent).count() / static_cast<double>(measuredCalls);
}

} // namespace basilpoint::bench
