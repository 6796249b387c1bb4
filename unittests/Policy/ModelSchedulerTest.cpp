#include "SchedulerOracle.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

using namespace basilpoint;
using namespace std::chrono_literals;

namespace {

enum class Event : std::uint8_t {
    Submit,
    SubmitWithDeadline,
    SubmitSharedContent,
    EndOldest,
    FailOldest,
    Cancel,
    CrashTarget,
    AddTarget,
    LeaveTarget,
    EndProgram,
    Tool,
    ShortTime,
    LongTime,
    Report,
};

struct Step {
    Event event = Event::Submit;
    unsigned subject = 0;
};

std::ostream& operator<<(std::ostream& stream, const Step& step)
{
    return stream << static_cast<int>(step.event) << ":" << step.subject;
}

} // namespace

static SchedulerSettings smallSettings()
{
    SchedulerSettings settings;
    settings.maxRunningPerTarget = 3;
    settings.maxWaiting = 24;
    return settings;
}

static void step(SchedulerOracle& oracle, const Step& step)
{
    std::string program = "program-" + std::to_string(step.subject % 9);
    std::string target = "target-" + std::to_string(step.subject % 4);
    std::string environment = step.subject % 3 ? "annex" : "head-count";
    switch (step.event) {
    case Event::Submit:
        oracle.submit(program, 100 + step.subject, {}, environment, environment);
        return;
    case Event::SubmitWithDeadline:
        oracle.submit(program, 0, Milliseconds(step.subject * 100), environment, environment);
        return;
    case Event::SubmitSharedContent:
        oracle.submit(program, 1 + step.subject % 3);
        return;
    case Event::EndOldest:
        if (!oracle.running.empty())
            oracle.end(oracle.running.begin()->first);
        return;
    case Event::FailOldest:
        if (!oracle.running.empty())
            oracle.end(oracle.running.begin()->first, CallEnd::Failed);
        return;
    case Event::Cancel:
        if (!oracle.waiting.empty())
            oracle.cancel(oracle.waiting.begin()->first);
        return;
    case Event::CrashTarget:
        oracle.kill(target);
        return;
    case Event::AddTarget:
        if (oracle.targetsOfRunning().contains(TargetId(target)))
            return;
        oracle.addTarget(target);
        return;
    case Event::LeaveTarget:
        if (oracle.live.contains(target))
            oracle.leave(target);
        return;
    case Event::EndProgram:
        oracle.endProgram(program);
        return;
    case Event::Tool:
        oracle.apply(oracle.scheduler.toolStarted(ProgramId(program), "payout", oracle.now));
        return;
    case Event::ShortTime:
        oracle.advance(100ms);
        return;
    case Event::LongTime:
        oracle.advance(3s);
        return;
    case Event::Report:
        oracle.apply(oracle.scheduler.loadReported({ TargetId(target), step.subject % 5, 0, 0.5, oracle.now - 300ms }, oracle.now));
        return;
    }
}

static rc::Gen<std::vector<Step>> steps()
{
    auto event = rc::gen::cast<Event>(rc::gen::weightedElement<int>({ { 8, 0 }, { 3, 1 }, { 2, 2 }, { 8, 3 }, { 1, 4 }, { 1, 5 }, { 1, 6 }, { 2, 7 }, { 1, 8 }, { 1, 9 }, { 2, 10 }, { 3, 11 }, { 1, 12 }, { 1, 13 } }));
    return rc::gen::scale(4, rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(rc::gen::set(&Step::event, event), rc::gen::set(&Step::subject, rc::gen::inRange(0U, 60U)))));
}

// Ends all programs and checks that no call waits and no cache entry is left, whatever happened before.
static void finishEverything(SchedulerOracle& oracle)
{
    for (int n = 0; n < 4; ++n)
        oracle.addTarget("target-" + std::to_string(n));
    for (int n = 0; n < 200 && !(oracle.running.empty() && oracle.waiting.empty()); ++n) {
        oracle.endAll();
        oracle.advance(1s);
    }
    RC_ASSERT(oracle.waiting.empty());
    for (int n = 0; n < 9; ++n)
        oracle.endProgram("program-" + std::to_string(n));
    RC_ASSERT(oracle.scheduler.cacheEntryCount() == 0U);
}

BOOST_AUTO_TEST_SUITE(ModelSchedulerTest)

RC_BOOST_PROP(everyActionIsAllowedAndEverythingEnds, ())
{
    SchedulerOracle oracle(smallSettings());
    oracle.setEnvironmentLimit("head-count", 4);
    oracle.addTarget("target-0");
    oracle.addTarget("target-1");
    for (const Step& next : *steps())
        step(oracle, next);
    finishEverything(oracle);
}

BOOST_AUTO_TEST_CASE(leavingTargetGetsNoNewCalls)
{
    SchedulerOracle oracle({});
    oracle.addTarget("a");
    CallId first = oracle.submit("p", 0);
    oracle.leave("a");
    BOOST_TEST(oracle.isRunning(first));
    CallId second = oracle.submit("p2", 0);
    BOOST_TEST((oracle.refusal(second) == RefusalReason::NoReplica));
    BOOST_TEST(oracle.refused.at(second).retryAfter.has_value());
}

BOOST_AUTO_TEST_CASE(refusesAtOnceWhenTheDeadlineCannotBeMet)
{
    SchedulerOracle oracle(smallSettings());
    oracle.addTarget("a");
    CallId late = oracle.submit("p", 0, 0ms);
    BOOST_TEST((oracle.refusal(late) == RefusalReason::DeadlineUnreachable));
    for (int n = 0; n < 3; ++n)
        oracle.submit("q" + std::to_string(n), 0);
    CallId expiring = oracle.submit("p", 0, 1s);
    BOOST_TEST(oracle.isWaiting(expiring));
    oracle.advance(1s);
    BOOST_TEST((oracle.refusal(expiring) == RefusalReason::DeadlineUnreachable));
}

BOOST_AUTO_TEST_CASE(callGoesWhereItsProgramIsCached)
{
    SchedulerOracle oracle({});
    for (int n = 0; n < 8; ++n)
        oracle.addTarget("t" + std::to_string(n));
    CallId first = oracle.submit("p", 0);
    TargetId cacheTarget = *oracle.targetOf(first);
    oracle.end(first);
    for (int n = 0; n < 20; ++n)
        oracle.submit("q" + std::to_string(n), 0);
    CallId second = oracle.submit("p", 0);
    BOOST_TEST((oracle.targetOf(second) == cacheTarget));
}

BOOST_AUTO_TEST_CASE(crashRequestStopsAtMostTwoReplicasAndOtherSuspectsAreCleared)
{
    SchedulerOracle oracle({});
    for (const char* target : { "a", "b", "c", "d" })
        oracle.addTarget(target);
    std::vector<ModelCall> otherLost;
    CallId crash = oracle.submit("crash", 666);
    for (std::uint64_t n = 0; n < 12; ++n)
        oracle.submit("neighbour-" + std::to_string(n), 1 + n);
    unsigned crashes = 0;
    for (unsigned attempt = 0; attempt < 5; ++attempt) {
        while (oracle.isWaiting(crash)) {
            oracle.endAll();
            oracle.advance(100ms);
        }
        if (!oracle.isRunning(crash))
            break;
        ++crashes;
        for (const ModelCall& lost : oracle.kill(oracle.targetOf(crash)->text())) {
            if (lost.id != crash)
                otherLost.push_back(lost);
        }
        crash = oracle.submit("crash", 666);
    }
    BOOST_TEST(crashes == 2U);
    BOOST_TEST((oracle.refusal(crash) == RefusalReason::Quarantined));
    BOOST_TEST((oracle.scheduler.quarantinedDigests() == std::vector<Digest> { { 1, 666 } }));
    BOOST_TEST(!otherLost.empty());
    // Cleared requests need no isolated replica, so they start at once.
    for (const ModelCall& lost : otherLost)
        BOOST_TEST(oracle.isRunning(oracle.submit(lost.program.text(), lost.content.low)));
    oracle.quarantined.clear();
    oracle.scheduler.liftQuarantine({ 1, 666 });
    BOOST_TEST(oracle.isRunning(oracle.submit("crash", 666)));
}

BOOST_AUTO_TEST_CASE(isolatedTargetThatIsAddedBackWhileLeavingServesCallsAgain)
{
    SchedulerOracle oracle({});
    oracle.addTarget("a");
    oracle.addTarget("b");
    CallId crash = oracle.submit("crash", 666);
    oracle.kill(oracle.targetOf(crash)->text());
    std::string left = *oracle.live.begin();
    CallId other = oracle.submit("other", 0);
    CallId suspect = oracle.submit("crash", 666);
    BOOST_TEST(oracle.isWaiting(suspect));
    oracle.leave(left);
    oracle.end(other);
    oracle.addTarget(left);
    oracle.advance(200ms);
    BOOST_TEST(oracle.isRunning(suspect));
    oracle.end(suspect);
    oracle.advance(200ms);
    BOOST_TEST(oracle.isRunning(oracle.submit("other", 0)));
}

BOOST_AUTO_TEST_CASE(waitingCallIsRefusedAfterTheAgingBoundWithoutReplicas)
{
    SchedulerOracle oracle(smallSettings());
    oracle.addTarget("a");
    for (int n = 0; n < 3; ++n)
        oracle.submit("q" + std::to_string(n), 0);
    CallId waiting = oracle.submit("p", 0);
    oracle.kill("a");
    oracle.advance(9s);
    BOOST_TEST(oracle.isWaiting(waiting));
    oracle.advance(2s);
    BOOST_TEST((oracle.refusal(waiting) == RefusalReason::NoReplica));
}

BOOST_AUTO_TEST_CASE(cacheOfALeavingTargetIsMovedAndReleasedWhenIdle)
{
    SchedulerOracle oracle({});
    oracle.addTarget("a");
    oracle.addTarget("b");
    CallId call = oracle.submit("p", 0);
    TargetId cacheTarget = *oracle.targetOf(call);
    oracle.end(call);
    oracle.leave(cacheTarget.text());
    BOOST_TEST_REQUIRE(oracle.moved.size() == 1U);
    BOOST_TEST((oracle.moved.front().from == cacheTarget));
    oracle.advance(oracle.settings.maxCacheIdle);
    BOOST_TEST(oracle.scheduler.cacheEntryCount() == 0U);
    BOOST_TEST((oracle.released.back().target == oracle.moved.front().to));
}

BOOST_AUTO_TEST_CASE(fullQueueRefusesWithRetryAfter)
{
    SchedulerOracle oracle(smallSettings());
    oracle.addTarget("a");
    CallId last;
    for (unsigned n = 0; n < 3 + oracle.settings.maxWaiting + 1; ++n)
        last = oracle.submit("p" + std::to_string(n), 0);
    BOOST_TEST((oracle.refusal(last) == RefusalReason::Overloaded));
    BOOST_TEST(oracle.refused.at(last).retryAfter.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
