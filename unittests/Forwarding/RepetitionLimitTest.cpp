#include "basilpoint/Forwarding/RepetitionLimit.h"

#include "basilpoint/Support/Error.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <random>

using namespace basilpoint;
using namespace std::chrono_literals;
using Verdict = RepetitionLimit::Verdict;
using RunEnd = RepetitionLimit::RunEnd;
using TargetFate = RepetitionLimit::TargetFate;

namespace {

struct Fixture {
    UnansweredRun runOn(const std::string& lifetime) { return { deadly, ++lastId, lifetime }; }

    /// One run of the request that ends without an answer.
    void runInVain(const std::string& lifetime)
    {
        limit.sent(runOn(lifetime), now);
        limit.ended(lastId, RunEnd::Unanswered, now);
    }

    /// As many runs, each on another target.
    void runInVainOn(unsigned targets)
    {
        for (unsigned n = 0; n < targets; ++n)
            runInVain("t" + std::to_string(n) + "/1");
    }

    void sweepWith(TargetFate fate)
    {
        limit.sweep(now, [fate](const std::string&) { return fate; });
    }

    RepetitionLimit limit;
    Digest deadly = digestOf("deadly");
    std::uint64_t lastId = 0;
    TimePoint now { 1h };
    /// When connections were established that are older than all runs.
    TimePoint before = now - 10s;
};

/// A request that ends each target which runs it, silently or with its connections, at once or after a while. Targets come back
/// and answer sound calls, on open connections and new ones, before their registrations show it.
class CrashingDay {
public:
    /// \param mayMeetAgain whether the request may reach a target again before its registration shows that it has ended.
    CrashingDay(unsigned seed, bool mayMeetAgain)
        : m_random(seed)
        , m_mayMeetAgain(mayMeetAgain)
        , m_targets(3 + m_random() % 6)
        , m_isSilent(m_random() % 2 == 0)
        , m_maxWork(m_random() % 2 == 0 ? 0 : 800)
        , m_maxPause(100 + m_random() % 1'500)
    {
        for (; m_now < length; m_now += step) {
            restartTargets();
            endRun();
            repeat();
            callTargets();
            limitTick();
        }
    }

    /// Runs that reached a target later than the users allow after the third end.
    std::size_t lateRuns() const
    {
        if (m_ends.size() < RepetitionLimit::toleratedEnds)
            return 0;
        TimePoint known = m_ends[RepetitionLimit::toleratedEnds - 1] + 3s;
        return static_cast<std::size_t>(std::count_if(m_runs.begin(), m_runs.end(), [known](TimePoint it) { return it > known; }));
    }

private:
    struct Connection {
        TimePoint since;
        unsigned process = 0;
    };

    struct Target {
        /// Start of the current process, and the last one that the registration shows.
        unsigned process = 1;
        unsigned registered = 1;
        bool isUp = true;
        TimePoint restartAt;
        TimePoint registerAt = TimePoint::max();
        std::vector<Connection> connections;
    };

    struct Run {
        std::size_t target = 0;
        std::uint64_t id = 0;
        TimePoint crashAt;
        TimePoint deadline;
        bool hasCrashed = false;
    };

    std::chrono::milliseconds upTo(unsigned n) { return std::chrono::milliseconds(n == 0 ? 0 : m_random() % n); }

    std::string lifetimeOf(std::size_t n) const { return "t" + std::to_string(n) + "/" + std::to_string(m_targets[n].registered); }

    void restartTargets()
    {
        for (std::size_t n = 0; n < m_targets.size(); ++n) {
            Target& it = m_targets[n];
            if (!it.isUp && m_now >= it.restartAt) {
                it.isUp = true;
                ++it.process;
                it.registerAt = m_now + upTo(2'000);
            }
            if (m_now >= it.registerAt) {
                m_limit.targetEnded(lifetimeOf(n), m_now);
                it.registered = it.process;
                it.registerAt = TimePoint::max();
            }
        }
    }

    void repeat()
    {
        if (m_run || m_now < m_nextTry)
            return;
        m_nextTry = m_now + 50ms + upTo(m_maxPause);
        if (m_limit.verdictOn(m_deadly) == Verdict::Refused)
            return;
        std::size_t n = m_random() % m_targets.size();
        m_limit.sent({ m_deadly, ++m_lastId, lifetimeOf(n) }, m_now);
        const Target& target = m_targets[n];
        if (!target.isUp || (!m_mayMeetAgain && target.process != target.registered)) {
            m_limit.ended(m_lastId, RunEnd::NotRun, m_now);
            return;
        }
        m_runs.push_back(m_now);
        m_run = Run { n, m_lastId, m_now + upTo(m_maxWork), m_now + 900ms };
    }

    void endRun()
    {
        if (!m_run)
            return;
        Target& target = m_targets[m_run->target];
        if (!m_run->hasCrashed && m_now >= m_run->crashAt) {
            m_run->hasCrashed = true;
            m_ends.push_back(m_now);
            target.isUp = false;
            target.restartAt = m_now + 1s + upTo(3'500);
            target.registerAt = TimePoint::max();
            if (!m_isSilent) {
                m_limit.ended(m_run->id, RunEnd::ConnectionLost, m_now);
                m_run.reset();
                return;
            }
        }
        if (m_now < m_run->deadline)
            return;
        m_limit.ended(m_run->id, RunEnd::Unanswered, m_now);
        m_run.reset();
    }

    /// Answers a sound call that was sent one step before, if its target has not ended since.
    void callTargets()
    {
        std::size_t n = m_random() % m_targets.size();
        Target& target = m_targets[n];
        if (!target.isUp)
            return;
        std::erase_if(target.connections, [&](const Connection& it) { return it.process != target.process; });
        if (target.connections.empty() || m_random() % 2 == 0) {
            target.connections.push_back({ m_now, target.process });
            m_limit.accepted(lifetimeOf(n), m_now);
        }
        const Connection& used = target.connections[m_random() % target.connections.size()];
        m_limit.targetAnswered(lifetimeOf(n), used.since, std::max(used.since, m_now - step), m_now);
    }

    void limitTick()
    {
        m_limit.takeChanges(m_now);
        m_limit.sweep(m_now, [this](const std::string& lifetime) {
            for (std::size_t n = 0; n < m_targets.size(); ++n)
                if (lifetimeOf(n) == lifetime)
                    return TargetFate::Alive;
            return TargetFate::Ended;
        });
    }

    static constexpr auto step = 25ms;
    static constexpr TimePoint length { 1h + 60s };

    std::mt19937 m_random;
    bool m_mayMeetAgain;
    RepetitionLimit m_limit;
    Digest m_deadly = digestOf("deadly");
    std::vector<Target> m_targets;
    bool m_isSilent;
    unsigned m_maxWork;
    unsigned m_maxPause;
    std::uint64_t m_lastId = 0;
    std::optional<Run> m_run;
    std::vector<TimePoint> m_ends;
    std::vector<TimePoint> m_runs;
    TimePoint m_now { 1h };
    TimePoint m_nextTry { 1h };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RepetitionLimitTest, Fixture)

BOOST_AUTO_TEST_CASE(requestIsRefusedAfterUnansweredRunsOnThreeTargetsAndThreeMore)
{
    for (unsigned n = 0; n < 6; ++n) {
        BOOST_TEST((limit.verdictOn(deadly) == (n < 3 ? Verdict::Unlimited : Verdict::OneTarget)));
        runInVain("t/" + std::to_string(n));
    }
    BOOST_TEST((limit.verdictOn(deadly) == Verdict::Refused));
    BOOST_TEST((limit.verdictOn(digestOf("other")) == Verdict::Unlimited));
    BOOST_TEST(limit.takeChanges(now).unanswered.size() == 6U);
}

BOOST_AUTO_TEST_CASE(runsOfOtherDaemonsCountOnceEach)
{
    for (unsigned n = 0; n < 6; ++n) {
        UnansweredRun run = runOn("t/" + std::to_string(n));
        limit.countReported(run, now);
        limit.countReported(run, now);
    }
    BOOST_TEST((limit.verdictOn(deadly) == Verdict::Refused));
    BOOST_TEST(limit.size() == 6U);
    BOOST_TEST(limit.takeChanges(now).unanswered.empty());
}

BOOST_AUTO_TEST_CASE(silentRunCountsBeforeItEnds)
{
    limit.sent(runOn("t/1"), now);
    now += RepetitionLimit::maxSilence - 1ms;
    limit.heard(lastId, now);
    BOOST_TEST(limit.takeChanges(now).unanswered.empty());
    now += RepetitionLimit::maxSilence;
    BOOST_TEST(limit.takeChanges(now).unanswered.size() == 1U);
    limit.ended(lastId, RunEnd::Unanswered, now);
    BOOST_TEST(limit.takeChanges(now).unanswered.empty());
    BOOST_TEST(limit.size() == 1U);
}

BOOST_AUTO_TEST_CASE(requestWithUnansweredRunsCountsAsSoonAsItIsSentAgain)
{
    runInVain("t/1");
    limit.takeChanges(now);
    limit.sent(runOn("t/2"), now);
    BOOST_TEST(limit.takeChanges(now).unanswered.size() == 1U);
}

// Guards against requests that are refused for good after one target has ended under several of them.
BOOST_AUTO_TEST_CASE(runsOnOneLifetimeAreOneEnd)
{
    for (unsigned n = 0; n < 8; ++n) {
        runInVain("t/1");
        limit.countReported(runOn("t/1"), now);
        now += 10s;
    }
    BOOST_TEST((limit.verdictOn(deadly) == Verdict::Unlimited));
    runInVain("t/2");
    BOOST_TEST((limit.verdictOn(deadly) == Verdict::Unlimited));
    runInVain("t/3");
    BOOST_TEST((limit.verdictOn(deadly) == Verdict::OneTarget));
}

// While registrations cannot be read, a target that starts again keeps its name.
BOOST_AUTO_TEST_CASE(targetThatEndsAgainAndAgainCountsEachTimeWhileRegistrationsAreUnknown)
{
    limit.setRegistrationsKnown(false);
    for (unsigned n = 0; n < 6; ++n, now += RepetitionLimit::minTimeBetweenEnds) {
        BOOST_TEST((limit.verdictOn(deadly) == (n < 3 ? Verdict::Unlimited : Verdict::OneTarget)));
        for (unsigned k = 0; k < 3; ++k)
            runInVain("t/1");
    }
    BOOST_TEST((limit.verdictOn(deadly) == Verdict::Refused));
}

// Guards against sound requests that are refused, since their callers left targets which were only silent for a while.
BOOST_AUTO_TEST_CASE(runIsClearedOnceItsTargetAnswersACallThatWasSentAfterIt)
{
    runInVainOn(6);
    limit.takeChanges(now);
    limit.targetAnswered("t0/1", before, now - 1ms, now);
    BOOST_TEST((limit.verdictOn(deadly) == Verdict::Refused));
    now += 1s;
    for (unsigned n = 0; n < 6; ++n)
        limit.targetAnswered("t" + std::to_string(n) + "/1", before, now - 500ms, now);
    BOOST_TEST(limit.size() == 0U);
    BOOST_TEST(limit.takeChanges(now).cleared.size() == 6U);
}

BOOST_AUTO_TEST_CASE(runOfAnotherDaemonIsClearedOnceItsTargetAnswersACallThatWasSentAfterTheReport)
{
    limit.countReported(runOn("t/1"), now);
    limit.targetAnswered("t/1", before, now - 1ms, now);
    BOOST_TEST(limit.size() == 1U);
    limit.targetAnswered("t/1", before, now + 1ms, now + 2ms);
    BOOST_TEST(limit.size() == 0U);
    BOOST_TEST(limit.takeChanges(now).cleared.size() == 1U);
}

// Guards against a target that is taken to have survived, since its next lifetime answered under its name.
BOOST_AUTO_TEST_CASE(clearedRunCountsAgainIfItsTargetTurnsOutToHaveEnded)
{
    runInVain("t/1");
    limit.targetAnswered("t/1", before, now + 100ms, now + 200ms);
    UnansweredRun reported = runOn("t/2");
    limit.sent(reported, now);
    limit.ended(reported.id, RunEnd::Unanswered, now);
    limit.clearReported(reported, now + 200ms);
    BOOST_TEST(limit.size() == 0U);
    limit.targetEnded("t/1", now + 1s);
    limit.targetEnded("t/2", now + 1s);
    BOOST_TEST(limit.size() == 2U);
}

// Guards against requests that are sent on, since targets which they have ended answer before their registrations show it.
BOOST_AUTO_TEST_CASE(runIsNotClearedByAnAnswerOrConnectionOfTheNextProcess)
{
    for (RunEnd end : { RunEnd::Unanswered, RunEnd::ConnectionLost })
        for (unsigned n = 0; n < 3; ++n) {
            limit.sent(runOn("t" + std::to_string(n) + (end == RunEnd::Unanswered ? "/1" : "/2")), now);
            limit.ended(lastId, end, now);
        }
    now += RepetitionLimit::maxProbeTime;
    limit.takeChanges(now);
    BOOST_TEST((limit.verdictOn(deadly) == Verdict::Refused));
    now += 3s;
    for (const char* process : { "/1", "/2" })
        for (unsigned n = 0; n < 3; ++n) {
            limit.accepted("t" + std::to_string(n) + process, now);
            limit.targetAnswered("t" + std::to_string(n) + process, now, now, now + 20ms);
        }
    BOOST_TEST((limit.verdictOn(deadly) == Verdict::Refused));
    BOOST_TEST(limit.takeChanges(now).cleared.empty());
}

// Guards against a run that is cleared while it goes on, under which the target ends later.
BOOST_AUTO_TEST_CASE(runOfALimitedRequestCountsUntilItEnds)
{
    runInVainOn(3);
    limit.sent(runOn("t/1"), now);
    limit.countReported(runOn("t/2"), now);
    now += 1s;
    for (const char* it : { "t/1", "t/2" })
        limit.targetAnswered(it, before, now, now + 20ms);
    BOOST_TEST(limit.size() == 5U);
}

// Guards against retries without end at a target that ends again before its registration shows the first end.
BOOST_AUTO_TEST_CASE(repetitionsOfALimitedRequestCountOnOneLifetimeToo)
{
    runInVainOn(3);
    for (unsigned n = 0; n < 3; ++n) {
        BOOST_TEST((limit.verdictOn(deadly) == Verdict::OneTarget));
        now += RepetitionLimit::minTimeBetweenEnds;
        runInVain("t0/1");
        runInVain("t0/1");
    }
    BOOST_TEST((limit.verdictOn(deadly) == Verdict::Refused));
}

BOOST_AUTO_TEST_CASE(runThatFallsSilentAgainAfterASignOfLifeCountsAgain)
{
    limit.sent(runOn("t/1"), now);
    now += RepetitionLimit::maxSilence;
    BOOST_TEST(limit.takeChanges(now).unanswered.size() == 1U);
    limit.targetAnswered("t/1", before, now, now + 10ms);
    BOOST_TEST(limit.size() == 0U);
    now += RepetitionLimit::maxSilence + 10ms;
    BOOST_TEST(limit.takeChanges(now).unanswered.size() == 1U);
    BOOST_TEST(limit.size() == 1U);
}

BOOST_AUTO_TEST_CASE(wholeAnswerClearsAllRunsOfTheRequest)
{
    for (unsigned n = 0; n < 4; ++n)
        runInVain("t/1");
    limit.countReported(runOn("t/2"), now);
    limit.sent(runOn("t/3"), now);
    limit.ended(lastId, RunEnd::Answered, now);
    BOOST_TEST((limit.verdictOn(deadly) == Verdict::Unlimited));
    BOOST_TEST(limit.takeChanges(now).cleared.size() == 6U);
}

// Guards against common requests that are refused after an outage of all targets.
BOOST_AUTO_TEST_CASE(requestThatWasAnsweredLatelyIsNotLimited)
{
    limit.sent(runOn("t/1"), now);
    limit.ended(lastId, RunEnd::Answered, now);
    for (unsigned n = 0; n < 9; ++n)
        runInVain("t/2");
    UnansweredRun other = runOn("t/3");
    limit.countReported(other, now);
    BOOST_TEST((limit.verdictOn(deadly) == Verdict::Unlimited));
    BOOST_TEST((limit.takeChanges(now).cleared == std::vector { other }));
    now += RepetitionLimit::answerRetention + 1s;
    sweepWith(TargetFate::Alive);
    runInVain("t/2");
    BOOST_TEST(limit.size() == 1U);
}

BOOST_AUTO_TEST_CASE(refusalByTheTargetDoesNotCount)
{
    runInVain("t/1");
    limit.sent(runOn("t/2"), now);
    limit.ended(lastId, RunEnd::NotRun, now);
    BOOST_TEST(limit.size() == 1U);
    BOOST_TEST(limit.takeChanges(now).cleared.size() == 1U);
}

// Guards against a crash that looks like the end of an answer without a length.
BOOST_AUTO_TEST_CASE(answerThatEndsWithItsTargetCounts)
{
    runInVain("t/1");
    limit.sent(runOn("t/2"), now);
    limit.ended(lastId, RunEnd::EndedWithConnection, now);
    BOOST_TEST(limit.size() == 1U);
    limit.targetEnded("t/2", now + 5s);
    BOOST_TEST(limit.size() == 2U);
}

// Guards against sound requests that are refused, since targets lose their answers.
BOOST_AUTO_TEST_CASE(runWhoseConnectionWasLostDoesNotCountIfItsTargetAcceptsAnother)
{
    for (unsigned n = 0; n < 9; ++n) {
        limit.sent(runOn("t/1"), now);
        limit.ended(lastId, RunEnd::ConnectionLost, now);
        limit.accepted("t/1", now);
        now += RepetitionLimit::maxProbeTime;
        BOOST_TEST(limit.takeChanges(now).unanswered.empty());
    }
    now += RepetitionLimit::survivalTime + 1s;
    sweepWith(TargetFate::Alive);
    BOOST_TEST(limit.takeChanges(now).unanswered.empty());
}

BOOST_AUTO_TEST_CASE(runWhoseConnectionWasLostCountsUnlessItsTargetIsKnownToRun)
{
    auto lose = [&] {
        limit.sent(runOn("t/1"), now);
        limit.ended(lastId, RunEnd::ConnectionLost, now);
    };
    lose();
    limit.accepted("t/1", now - 1ms);
    limit.takeChanges(now + RepetitionLimit::maxProbeTime);
    BOOST_TEST(limit.size() == 1U);
    lose();
    limit.accepted("t/1", now);
    BOOST_TEST(limit.size() == 1U);
    limit.targetEnded("t/1", now + 2s);
    BOOST_TEST(limit.size() == 2U);
    lose();
    limit.accepted("t/1", now);
    BOOST_TEST(limit.size() == 2U);
    now += RepetitionLimit::survivalTime + 1s;
    sweepWith(TargetFate::Unknown);
    BOOST_TEST(limit.size() == 3U);
}

BOOST_AUTO_TEST_CASE(runThatCountsAgainExpiresOnce)
{
    for (RunEnd end : { RunEnd::EndedWithConnection, RunEnd::ConnectionLost }) {
        limit.countReported(runOn("t/2"), now);
        limit.sent(runOn("t/1"), now);
        limit.ended(lastId, end, now);
        limit.accepted("t/1", now);
        limit.targetEnded("t/1", now);
    }
    BOOST_TEST(limit.size() == 4U);
    now += RepetitionLimit::retention + 1s;
    sweepWith(TargetFate::Unknown);
    BOOST_TEST(limit.size() == 0U);
}

BOOST_AUTO_TEST_CASE(runOnATargetThatSurvivesItIsForgotten)
{
    runInVainOn(6);
    limit.takeChanges(now);
    now += RepetitionLimit::survivalTime;
    sweepWith(TargetFate::Alive);
    BOOST_TEST((limit.verdictOn(deadly) == Verdict::Refused));
    now += 1s;
    sweepWith(TargetFate::Unknown);
    BOOST_TEST((limit.verdictOn(deadly) == Verdict::Refused));
    sweepWith(TargetFate::Alive);
    BOOST_TEST((limit.verdictOn(deadly) == Verdict::Unlimited));
    BOOST_TEST(limit.takeChanges(now).cleared.size() == 6U);
}

BOOST_AUTO_TEST_CASE(runOnATargetThatHasEndedIsRememberedForADay)
{
    runInVainOn(6);
    limit.takeChanges(now);
    now += RepetitionLimit::survivalTime + 1s;
    sweepWith(TargetFate::Ended);
    BOOST_TEST(limit.takeChanges(now).ended.size() == 6U);
    now += RepetitionLimit::retention;
    sweepWith(TargetFate::Unknown);
    BOOST_TEST((limit.verdictOn(deadly) == Verdict::Refused));
    now += RepetitionLimit::endedRetention;
    sweepWith(TargetFate::Unknown);
    BOOST_TEST((limit.verdictOn(deadly) == Verdict::Unlimited));
    BOOST_TEST(limit.size() == 0U);
}

BOOST_AUTO_TEST_CASE(onlyRunsOfLimitedRequestsAreStored)
{
    limit.countReported({ digestOf("other"), 99, "t/1" }, now);
    BOOST_TEST(!limit.hasOwnRun(digestOf("other")));
    for (unsigned n = 0; n < 3; ++n) {
        BOOST_TEST(limit.limitedRuns().empty());
        runInVain("t" + std::to_string(n) + "/1");
        runInVain("t" + std::to_string(n) + "/1");
    }
    BOOST_TEST(limit.hasOwnRun(deadly));
    BOOST_TEST(limit.limitedRuns().size() == 3U);
    RepetitionLimit restarted;
    for (const UnansweredRun& it : limit.limitedRuns())
        restarted.countReported(it, now);
    BOOST_TEST((restarted.verdictOn(deadly) == Verdict::OneTarget));
}

BOOST_AUTO_TEST_CASE(floodOfRunsForgetsTheOldest)
{
    for (std::size_t n = 0; n < RepetitionLimit::maxRuns + 10; ++n)
        limit.countReported({ digestOf(std::to_string(n)), n, "t/1" }, now);
    runInVainOn(6);
    BOOST_TEST(limit.size() == RepetitionLimit::maxRuns);
    BOOST_TEST((limit.verdictOn(deadly) == Verdict::Refused));
}

// Guards against each way in which a request comes to be sent on that ends the targets which run it.
BOOST_AUTO_TEST_CASE(requestThatEndsTargetsIsRepeatedThreeTimesAtMost)
{
    for (unsigned seed = 1; seed <= 400; ++seed)
        BOOST_TEST(CrashingDay(seed, false).lateRuns() <= RepetitionLimit::maxRepetitions, "seed " << seed);
}

// Guards against ends that are taken for one, since the target had not registered between them.
BOOST_AUTO_TEST_CASE(requestThatEndsUnregisteredTargetsIsRepeatedThreeTimesAtMost)
{
    for (unsigned seed = 1; seed <= 400; ++seed)
        BOOST_TEST(CrashingDay(seed, true).lateRuns() <= RepetitionLimit::maxRepetitions, "seed " << seed);
}

BOOST_AUTO_TEST_CASE(textOfARunIsReadBack)
{
    UnansweredRun run { deadly, 0xfeed, "i-7/1700000000000" };
    BOOST_TEST((parseUnansweredRun(toText(run)) == run));
    run.lifetime.clear();
    BOOST_TEST((parseUnansweredRun(toText(run)) == run));
    for (const char* it : { "", "/", "//", "x/1/t", "00/zz/t" })
        BOOST_CHECK_THROW(parseUnansweredRun(it), InvalidInputError);
    BOOST_CHECK_THROW(parseUnansweredRun(deadly.text() + "/1x/t"), InvalidInputError);
}

BOOST_AUTO_TEST_SUITE_END()
