#include "Deployment.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/FiberRuntime.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <set>

using namespace basilpoint;
using namespace basilpoint::test;
using namespace std::chrono_literals;

namespace {

const char* const deadlyBody = "deadly";
// Targets that one request may crash, and retries that may still reach a target later than propagationLimit after that.
constexpr unsigned maxCrashes = 3;
constexpr unsigned maxRetries = 3;
constexpr auto propagationLimit = 3s;
constexpr auto restartDelay = 400ms;

/// Two gateways before seven tool services that restart after a crash, with sound calls beside a request that crashes each
/// service that runs it.
class CrashDay {
public:
    /// \param linked gateway that finds its targets at links, which can be cut; empty for none.
    explicit CrashDay(const std::string& linked = {})
        : deployment(*new Deployment(0, 6))
    {
        deployment.putConfiguration(5, { "/work/" });
        for (FakeTarget* it : tools()) {
            it->crashesOn = deadlyBody;
            it->delay = 20ms;
        }
        std::map<std::string, std::string> keepers { { "keeper", defaultZone } };
        if (!linked.empty()) {
            deployment.linkTargets(linked);
            keepers.clear();
        }
        startAll(deployment, keepers);
        BOOST_REQUIRE(eventually([&] { return deployment.statusAt(deployment.instances["a"].callers, "POST", "/work/x", {}, "first") == 200; }));
    }

    std::vector<FakeTarget*> tools()
    {
        std::vector<FakeTarget*> all { &deployment.tool };
        for (const auto& it : deployment.moreTools)
            all.push_back(it.get());
        return all;
    }

    /// One attempt of the request's caller. Its id differs from those of earlier attempts.
    int tryDeadly(const std::string& gateway)
    {
        return deployment.call(deployment.instances[gateway].callers, "POST", "/work/x", { { "x-basilpoint-program-id", "p" }, { "x-basilpoint-deadline-ms", "900" } }, deadlyBody).status;
    }

    /// One attempt of the request's caller, which leaves before it gets an answer.
    void leaveDeadly(const std::string& gateway, std::chrono::milliseconds after)
    {
        HttpClient client(testRuntime().io());
        HttpCallOptions options;
        options.deadline = std::chrono::steady_clock::now() + after;
        HttpHeaders headers { { "host", "h.example" }, { "x-basilpoint-request-id", "leaves-" + std::to_string(++attempts) }, { "x-basilpoint-program-id", "p" }, { "x-basilpoint-deadline-ms", "900" } };
        try {
            client.call({ "127.0.0.1", static_cast<std::uint16_t>(deployment.instances[gateway].callers) }, { "POST", "/work/x", headers, deadlyBody }, options);
        } catch (const TargetError&) {
            // The caller has left, unless it was refused before.
            return;
        }
    }

    /// Starts a caller of sound requests that tries each twice more, through the other gateway, as callers do. Ends with the
    /// day.
    void startSoundCaller(const std::string& name)
    {
        spawnFiber([this, name] {
            ++soundCallers;
            for (unsigned n = 0; !isOver; ++n) {
                int status = 0;
                for (unsigned tries = 0; status != 200 && tries < 3 && !isOver; ++tries) {
                    status = deployment.call(deployment.instances[(n + tries) % 2 ? "a" : "b"].callers, "POST", "/work/x", { { "x-basilpoint-program-id", name }, { "x-basilpoint-deadline-ms", "1200" } }, name + std::to_string(n)).status;
                    denied += status >= 400 && status < 500 ? 1 : 0;
                }
                ++sound;
                soundServed += status == 200 ? 1 : 0;
            }
            --soundCallers;
        });
    }

    /// Restarts crashed services after some time, as their supervisor does.
    void startSupervisor()
    {
        supervise([this](FakeTarget& target) {
            pause(restartDelay);
            target.restart();
            deployment.put(target);
        });
    }

    /// Restarts crashed services at their addresses, with registrations that nobody sees.
    void startHiddenSupervisor()
    {
        supervise([](FakeTarget& target) {
            pause(restartDelay);
            target.restartInPlace();
        });
    }

    void supervise(const std::function<void(FakeTarget&)>& restart)
    {
        for (FakeTarget* it : tools())
            spawnFiber([this, it, restart] {
                ++soundCallers;
                for (unsigned seen = it->crashes(); !isOver; pause(5ms))
                    if (it->crashes() != seen) {
                        seen = it->crashes();
                        restart(*it);
                    }
                --soundCallers;
            });
    }

    void setEnding(TargetEnd ending)
    {
        for (FakeTarget* it : tools())
            it->ending = ending;
    }

    /// One attempt of the request's caller, at the gateways in turn.
    using Try = std::function<void(const std::string& gateway)>;

    /// Sends the request again and again until it has crashed as many targets as are tolerated and all gateways may know it.
    void repeatUntilKnown(const Try& attempt)
    {
        auto end = std::chrono::steady_clock::now() + 30s;
        for (; crashes() < maxCrashes && std::chrono::steady_clock::now() < end; pause(200ms))
            attempt(nextGateway());
        BOOST_REQUIRE(crashes() >= maxCrashes);
        auto deadline = std::chrono::steady_clock::now() + propagationLimit;
        for (; std::chrono::steady_clock::now() < deadline; pause(200ms))
            attempt(nextGateway());
    }

    /// Sends the request twelve times more. \returns how often targets ran it.
    unsigned runsOfRepetitions(const Try& attempt)
    {
        unsigned before = deadlyRuns();
        for (unsigned n = 0; n < 12; ++n, pause(200ms))
            attempt(nextGateway());
        return deadlyRuns() - before;
    }

    std::string nextGateway() { return ++attempts % 2 ? "a" : "b"; }

    void checkSoundCalls() const
    {
        BOOST_TEST(denied == 0U);
        BOOST_TEST(sound > 20U);
    }

    unsigned crashes()
    {
        unsigned n = 0;
        for (FakeTarget* it : tools())
            n += it->crashes();
        return n;
    }

    unsigned deadlyRuns()
    {
        std::ptrdiff_t n = 0;
        for (FakeTarget* it : tools())
            n += std::count_if(it->runs.begin(), it->runs.end(), [](const auto& run) { return run.body.ends_with(deadlyBody); });
        return static_cast<unsigned>(n);
    }

    /// Whether a target ran the same attempt of the request that crashes targets more than once.
    bool hasRepeatedAttempt()
    {
        std::set<std::string> ids;
        for (FakeTarget* it : tools())
            for (const auto& run : it->runs)
                if (run.body == deadlyBody && !ids.insert(run.call).second)
                    return true;
        return false;
    }

    void end()
    {
        isOver = true;
        BOOST_TEST(eventually([&] { return soundCallers == 0; }));
        deployment.end();
    }

    // Never deleted, since fibers of the fakes use it until the process ends.
    Deployment& deployment;
    bool isOver = false;
    unsigned attempts = 0;
    unsigned soundCallers = 0;
    unsigned sound = 0;
    unsigned soundServed = 0;
    unsigned denied = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(CrashingRequestTest)

// Each attempt of its caller has another id and reaches another gateway, one of which restarts while the store is down.
BOOST_AUTO_TEST_CASE(requestThatCrashesTargetsReachesFewMoreAfterTheThird)
{
    inFiber([] {
        auto& day = *new CrashDay;
        day.startSupervisor();
        for (const char* it : { "s1", "s2", "s3" })
            day.startSoundCaller(it);
        unsigned attempts = 0;
        auto end = std::chrono::steady_clock::now() + 20s;
        while (day.crashes() < maxCrashes && std::chrono::steady_clock::now() < end) {
            day.tryDeadly(attempts++ % 2 ? "a" : "b");
            pause(300ms);
        }
        BOOST_REQUIRE(day.crashes() >= maxCrashes);
        day.deployment.store.isDown = true;
        BOOST_REQUIRE(day.deployment.kill("b"));
        auto deadline = std::chrono::steady_clock::now() + propagationLimit;
        while (std::chrono::steady_clock::now() < deadline) {
            day.tryDeadly("a");
            pause(300ms);
        }
        day.deployment.store.isDown = false;
        day.deployment.start("b", true);
        unsigned before = day.deadlyRuns();
        BOOST_REQUIRE(eventually([&] { return day.deployment.isReady("b"); }));
        int status = 0;
        for (unsigned n = 0; n < 12; ++n) {
            status = day.tryDeadly(n % 2 ? "a" : "b");
            pause(200ms);
        }
        BOOST_TEST(day.deadlyRuns() - before <= maxRetries);
        BOOST_TEST(!day.hasRepeatedAttempt());
        // Callers retry after 502 and 503, but not after 400.
        BOOST_TEST(status == 400);
        BOOST_TEST(day.denied == 0U);
        BOOST_TEST(day.sound > 100U);
        BOOST_TEST(day.soundServed >= day.sound - day.sound / 20);
        day.end();
    });
}

// Targets that lose power answer nothing and reset nothing, so that attempts end at their deadlines.
BOOST_AUTO_TEST_CASE(requestThatEndsTargetsSilentlyReachesFewMoreAfterTheThird)
{
    inFiber([] {
        auto& day = *new CrashDay;
        day.setEnding(TargetEnd::Silent);
        day.startSupervisor();
        day.startSoundCaller("s1");
        auto attempt = [&](const std::string& gateway) { day.tryDeadly(gateway); };
        day.repeatUntilKnown(attempt);
        BOOST_TEST(day.runsOfRepetitions(attempt) <= maxRetries);
        day.checkSoundCalls();
        day.end();
    });
}

// The targets are back at their addresses before the attempts end, and their registrations cannot be read.
BOOST_AUTO_TEST_CASE(requestThatEndsTargetsWhileTheStoreIsAwayReachesFewMoreAfterTheThird)
{
    inFiber([] {
        auto& day = *new CrashDay;
        day.setEnding(TargetEnd::Silent);
        day.startHiddenSupervisor();
        day.deployment.store.isDown = true;
        auto attempt = [&](const std::string& gateway) { day.tryDeadly(gateway); };
        day.repeatUntilKnown(attempt);
        BOOST_TEST(day.runsOfRepetitions(attempt) <= maxRetries);
        day.deployment.store.isDown = false;
        day.end();
    });
}

BOOST_AUTO_TEST_CASE(requestWhoseCallersLeaveBeforeItsTargetsEndReachesFewMoreAfterTheThird)
{
    inFiber([] {
        auto& day = *new CrashDay;
        day.setEnding(TargetEnd::Silent);
        day.startSupervisor();
        auto attempt = [&](const std::string& gateway) { day.leaveDeadly(gateway, 150ms); };
        day.repeatUntilKnown(attempt);
        BOOST_TEST(day.runsOfRepetitions(attempt) <= maxRetries);
        day.end();
    });
}

BOOST_AUTO_TEST_CASE(requestThatNamesAnotherProgramAndHostEachTimeReachesFewMoreAfterTheThird)
{
    inFiber([] {
        auto& day = *new CrashDay;
        day.startSupervisor();
        day.startSoundCaller("s1");
        auto attempt = [&](const std::string& gateway) {
            day.deployment.call(day.deployment.instances[gateway].callers, "POST", "/work/x", { { "host", day.attempts % 3 ? "h.example" : "h.example:80" }, { "x-basilpoint-program-id", "p" + std::to_string(day.attempts) }, { "x-basilpoint-deadline-ms", "900" } }, deadlyBody);
        };
        day.repeatUntilKnown(attempt);
        BOOST_TEST(day.runsOfRepetitions(attempt) <= maxRetries);
        day.checkSoundCalls();
        day.end();
    });
}

// The gateway that has the callers is cut off from all targets, so the other one chooses them.
BOOST_AUTO_TEST_CASE(requestThatEndsTargetsThroughARelayReachesFewMoreAfterTheThird)
{
    inFiber([] {
        auto& day = *new CrashDay("a");
        day.setEnding(TargetEnd::Silent);
        day.startSupervisor();
        day.deployment.cut("a", CutKind::Silent);
        pause(1s);
        auto attempt = [&](const std::string&) { day.tryDeadly("a"); };
        day.repeatUntilKnown(attempt);
        BOOST_TEST(day.runsOfRepetitions(attempt) <= maxRetries);
        BOOST_TEST(day.deployment.processes["a"]->log().find("\"relay\"") != std::string::npos);
        day.end();
    });
}

// A target that both requests end counts for each of them.
BOOST_AUTO_TEST_CASE(twoRequestsThatEndTheSameTargetsReachFewMoreAfterTheThird)
{
    inFiber([] {
        auto& day = *new CrashDay;
        day.setEnding(TargetEnd::Silent);
        day.startSupervisor();
        auto attempt = [&](const std::string& gateway) {
            std::string other = gateway == "a" ? "b" : "a";
            spawnFiber([&day, other] { day.deployment.call(day.deployment.instances[other].callers, "POST", "/work/x", { { "x-basilpoint-program-id", "q" }, { "x-basilpoint-deadline-ms", "700" } }, std::string("more ") + deadlyBody); });
            day.tryDeadly(gateway);
        };
        day.repeatUntilKnown(attempt);
        BOOST_TEST(day.runsOfRepetitions(attempt) <= 2 * maxRetries);
        pause(1s);
        day.end();
    });
}

BOOST_AUTO_TEST_CASE(requestThatEndsTargetsReachesFewMoreAfterAllGatewaysWereKilled)
{
    inFiber([] {
        auto& day = *new CrashDay;
        day.setEnding(TargetEnd::Silent);
        day.startSupervisor();
        auto attempt = [&](const std::string& gateway) { day.tryDeadly(gateway); };
        day.repeatUntilKnown(attempt);
        for (const char* it : { "a", "b" })
            BOOST_REQUIRE(day.deployment.kill(it));
        for (const char* it : { "a", "b" })
            day.deployment.start(it, true);
        BOOST_REQUIRE(eventually([&] { return day.deployment.isReady("a") && day.deployment.isReady("b"); }));
        BOOST_TEST(day.runsOfRepetitions(attempt) <= maxRetries);
        day.end();
    });
}

// Guards against sound requests that are refused since the targets they were sent to fell silent.
BOOST_AUTO_TEST_CASE(soundRequestsAreServedAfterTheirTargetsHaveGoneSilentAgainAndAgain)
{
    inFiber([] {
        auto& day = *new CrashDay;
        day.setEnding(TargetEnd::Silent);
        day.startSupervisor();
        for (const char* it : { "s1", "s2", "s3", "s4" })
            day.startSoundCaller(it);
        auto alike = [&](const std::string& gateway) { return day.deployment.call(day.deployment.instances[gateway].callers, "GET", "/work/x", { { "x-basilpoint-deadline-ms", "900" } }).status; };
        BOOST_TEST(alike("a") == 200);
        for (unsigned n = 0; n < 4; ++n) {
            pause(1s);
            for (FakeTarget* it : day.tools())
                it->crash();
            // Callers who send the same request, each with no fault of its own.
            for (unsigned k = 0; k < 3; ++k)
                spawnFiber([&] { alike(day.nextGateway()); });
        }
        pause(2s);
        BOOST_TEST(day.denied == 0U);
        for (const char* it : { "a", "b" })
            BOOST_TEST(alike(it) == 200);
        unsigned served = day.soundServed;
        pause(1s);
        BOOST_TEST(day.soundServed > served + 20);
        day.end();
    });
}

// Sound calls lose their targets several times, but to no fault of theirs.
BOOST_AUTO_TEST_CASE(soundRequestsAreServedAfterAllTargetsHaveEndedAtOnceAgainAndAgain)
{
    inFiber([] {
        auto& day = *new CrashDay;
        day.startSupervisor();
        for (const char* it : { "s1", "s2", "s3", "s4" })
            day.startSoundCaller(it);
        for (unsigned n = 0; n < 4; ++n) {
            pause(700ms);
            for (FakeTarget* it : day.tools())
                it->crash();
        }
        pause(700ms);
        BOOST_TEST(day.denied == 0U);
        unsigned served = day.soundServed;
        pause(1s);
        BOOST_TEST(day.soundServed > served + 20);
        day.end();
    });
}

// Targets that reset connections or lose answers have not ended, so the request is not the cause.
BOOST_AUTO_TEST_CASE(requestWhoseAnswersWereLostIsServedOnceTheyAreNot)
{
    inFiber([] {
        auto& day = *new CrashDay;
        auto work = [&](const std::string& gateway) { return day.deployment.call(day.deployment.instances[gateway].callers, "POST", "/work/x", { { "x-basilpoint-program-id", "p" }, { "x-basilpoint-deadline-ms", "900" } }, "sound").status; };
        for (FakeTarget* it : day.tools())
            it->losesAnswers = true;
        for (unsigned n = 0; n < 8; ++n)
            BOOST_TEST(work(n % 2 ? "a" : "b") == 502);
        for (FakeTarget* it : day.tools())
            it->losesAnswers = false;
        for (const char* it : { "a", "b" })
            BOOST_TEST(work(it) == 200);
        BOOST_TEST(eventually([&] { return day.deployment.processes["a"]->log().find("target-probed") != std::string::npos; }));
        BOOST_TEST(day.deployment.processes["a"]->log().find("request-suspected") == std::string::npos);
        day.end();
    });
}

// A turn's body is only its new input, which its caller sends again with the turn.
BOOST_AUTO_TEST_CASE(turnThatCrashesEnginesEndsItsProgramWithoutRunningAgain)
{
    inFiber([] {
        auto& day = *new CrashDay;
        Deployment& deployment = day.deployment;
        BOOST_TEST(eventually([&] { return deployment.turn("a", "t0", "", "in;") == 200; }));
        deployment.engine.crashesOn = deadlyBody;
        for (unsigned n = 0; n < maxCrashes; ++n) {
            BOOST_TEST(deployment.turn(n % 2 ? "a" : "b", "t1-" + std::to_string(n), "t0", deadlyBody) == 502);
            pause(200ms);
            deployment.engine.restart();
            deployment.put(deployment.engine);
            BOOST_TEST(eventually([&] { return deployment.turn("a", "sound-" + std::to_string(n), "t0", "more;") == 200; }));
        }
        BOOST_TEST(deployment.engine.crashes() == maxCrashes);
        for (const char* it : { "a", "b" })
            BOOST_TEST(eventually([&] { return deployment.turn(it, std::string("t2-") + it, "t0", deadlyBody) == 400; }));
        BOOST_TEST(deployment.engine.crashes() == maxCrashes);
        BOOST_TEST(deployment.turn("b", "t3", "t0", "more;") == 200);
        day.end();
    });
}

BOOST_AUTO_TEST_SUITE_END()
