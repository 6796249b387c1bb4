#include "Soak.h"

#include "Deployment.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Support/Hash.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <set>

using namespace basilpoint;
using namespace basilpoint::test;
using namespace std::chrono_literals;

namespace {

using Time = std::chrono::steady_clock::time_point;

constexpr auto duration = 14s;
constexpr std::chrono::milliseconds usualCallDeadline = 2s;
// Gateways that are many wait longer for the store.
constexpr std::chrono::milliseconds callDeadlineWithMany = 4s;
// Time for a stop that callers' deadlines fit into.
constexpr unsigned graceSecondsWithMany = 8;
// How long a client waits beyond its deadline.
constexpr auto lateness = 2s;
// Time within which a configuration is in force at all gateways that reach the store.
constexpr auto configurationLimit = 2s;
constexpr std::uint64_t tokensPerEvent = 10;
constexpr std::uint64_t maxTokensPerTurn = 40;
constexpr std::chrono::milliseconds usualStoreLatency = 4ms;
// Milliseconds that calls to the store take while it is slow.
constexpr std::size_t maxStoreLatency = 1'500;
// Few enough for the connections of all clients to exceed it.
constexpr unsigned scarceDescriptors = 96;
constexpr unsigned usualGateways = 3;
constexpr unsigned gatewaysOfPlannedWork = 6;
constexpr unsigned manyGateways = 24;
// Of gateways; each stops one at a time.
constexpr unsigned disturbersOfMany = 8;

constexpr const char* keyHeader = "x-api-key";
constexpr const char* organisationHeader = "x-basilpoint-tenant";
constexpr const char* visitorKey = "key-of-visitor";

/// A deployment whose processes, store, targets and configuration are disturbed at random times, while clients keep using
/// their connections and check what must always hold.
class Soak {
public:
    Soak(RandomEngine::result_type soakSeed, bool soakIsScarce, Disturbances disturbances)
        : m_deployment(*new Deployment(disturbances == Disturbances::FaultsAndCuts ? 0 : 1, 2))
        , m_seed(soakSeed)
        , m_isScarce(soakIsScarce)
        , m_hasCuts(disturbances == Disturbances::FaultsAndCuts)
        , m_hasMany(disturbances == Disturbances::PlannedWorkOnManyGateways)
        , m_isPlanned(disturbances == Disturbances::PlannedWork || m_hasMany)
        , m_callDeadline(m_hasMany ? callDeadlineWithMany : usualCallDeadline)
        , m_random(soakSeed)
    {
        for (unsigned n = 0; n < (m_hasMany ? manyGateways : m_isPlanned ? gatewaysOfPlannedWork
                                                                         : usualGateways);
             ++n)
            m_gateways.emplace_back(1, static_cast<char>('a' + n));
        if (m_hasMany)
            m_deployment.graceSeconds = graceSecondsWithMany;
        if (m_hasCuts)
            for (const std::string& it : m_gateways)
                m_deployment.linkTargets(it);
        if (m_isScarce)
            m_deployment.descriptors = scarceDescriptors;
        putOrganisations();
        m_deployment.putConfiguration(++m_version, m_prefixes);
        m_deployment.put(m_deployment.spare);
        for (FakeTarget* it : targets())
            it->delay = m_isPlanned ? std::chrono::milliseconds(15 + draw(400)) : 15ms;
        startAll(m_deployment, m_hasCuts ? std::map<std::string, std::string>() : std::map<std::string, std::string> { { "k1", "z" }, { "k2", "y" }, { "k3", "x" } });
        if (m_isScarce)
            for (const char* it : { "a", "b" })
                m_deployment.limitDescriptors(it);
        for (std::size_t n = 2; n < m_gateways.size(); ++n)
            startGateway(m_gateways[n]);
        for (const std::string& it : m_gateways) {
            BOOST_REQUIRE(eventually([&] { return m_deployment.isReady(it) && m_deployment.store.has("daemons/" + it); }));
            m_disturbedAt[it] = std::chrono::steady_clock::now();
        }
    }

    void run()
    {
        unsigned clients = m_isScarce || m_isPlanned ? 60 : 16;
        for (unsigned n = 0; n < clients; ++n)
            start([this, n] { n % 3 == 0 ? runProgram(n) : runTools(n); });
        for (unsigned n = 0; n < (m_hasMany ? disturbersOfMany : 2); ++n)
            start([this] { disturbGateways(); });
        start([this] { m_hasCuts ? disturbPaths() : disturbKeepers(); });
        start([this] { disturbStore(); });
        if (!m_isPlanned)
            start([this] { disturbTargets(); });
        start([this] { changeConfiguration(); });
        pause(duration);
        m_isOver = true;
        BOOST_TEST(eventually([&] { return m_fibers == 0; }, 30s));
        checkRuns();
        BOOST_TEST(m_served > 20U, "calls served: " << m_served << ", seed " << m_seed);
        for (const std::string& it : m_violations)
            BOOST_ERROR(it << ", seed " << m_seed);
        if (!m_violations.empty())
            keepLogs();
        m_deployment.end();
    }

private:
    struct Sent {
        std::string gateway;
        std::string body;
        bool mayRepeat = false;
        /// Whether an answer promised that the call has not run.
        bool isPromisedNotRun = false;
        std::string organisation;
    };

    struct Result {
        int status = 0;
        std::string body;
        bool isCut = false;
    };

    void start(std::function<void()> body)
    {
        ++m_fibers;
        spawnFiber([this, body = std::move(body)] {
            body();
            --m_fibers;
        });
    }

    std::vector<FakeTarget*> targets()
    {
        std::vector<FakeTarget*> all { &m_deployment.engine, &m_deployment.spare, &m_deployment.tool };
        for (const auto& it : m_deployment.moreTools)
            all.push_back(it.get());
        return all;
    }

    std::size_t draw(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random); }
    void wait(std::chrono::milliseconds most)
    {
        auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(1 + draw(static_cast<std::size_t>(most.count())));
        while (!m_isOver && std::chrono::steady_clock::now() < end)
            pause(std::min(50ms, most));
    }

    std::string otherGateway(const std::string& than)
    {
        std::vector<std::string> names;
        for (const std::string& it : m_gateways)
            if (it != than)
                names.push_back(it);
        return names[draw(names.size())];
    }

    void violation(const std::string& text) { m_violations.push_back(text); }

    void startGateway(const std::string& name)
    {
        m_deployment.start(name, true);
        if (m_isScarce)
            m_deployment.limitDescriptors(name);
    }

    /// Makes a call on the client's open connection, or on a new one if it has none.
    Result call(HttpClient& client, const std::string& gateway, const std::string& path, HttpHeaders headers, const std::string& id, const std::string& body)
    {
        Time start = std::chrono::steady_clock::now();
        HttpCallOptions options;
        options.resendOnStale = false;
        options.readTimeout = m_callDeadline + lateness;
        options.deadline = start + m_callDeadline + lateness;
        headers["host"] = "h.example";
        headers["x-basilpoint-request-id"] = id;
        std::string organisation = organisationOf(id);
        headers[keyHeader] = lastingKeyOf(organisation);
        headers[organisationHeader] = "forged";
        headers["x-basilpoint-deadline-ms"] = std::to_string(m_callDeadline.count());
        bool mayRepeat = path.find("/pay/") == std::string::npos && path.find("/stream/") == std::string::npos;
        m_sent[id] = { gateway, body, mayRepeat, false, organisation };
        Result result;
        try {
            HttpResponse response = client.call({ "127.0.0.1", static_cast<std::uint16_t>(m_deployment.instances[gateway].callers) }, { "POST", path, headers, body }, options);
            result = { response.status, response.body, false };
        } catch (const TargetError& error) {
            result.isCut = error.executed() != Executed::No;
        }
        if (result.status == 401)
            violation(fmt::format("call {} was refused although its key was valid all the time", id));
        static const std::set<int> promises { 400, 401, 402, 404, 408, 421, 429, 503 };
        m_sent[id].isPromisedNotRun = promises.contains(result.status);
        // Only a kill, a freeze, the target or the deadline may end a call that a target has got.
        bool isInTime = std::chrono::steady_clock::now() - start < m_callDeadline - 100ms;
        if (result.isCut && isInTime && hasRun(id) && m_disturbedAt[gateway] < start && m_targetsDisturbedAt < start)
            violation(fmt::format("call {} through {} was cut off after a target had got it: {}", id, gateway, loggedEnd(gateway, id)));
        m_served += result.status == 200 ? 1 : 0;
        return result;
    }

    /// What the gateway has logged last of a call that it has not answered.
    std::string loggedEnd(const std::string& gateway, const std::string& id)
    {
        std::ifstream log(m_deployment.folder / (gateway + ".log"));
        std::string found = "nothing logged";
        for (std::string line; std::getline(log, line);)
            if (line.find('"' + id + '"') != std::string::npos)
                found = line;
        return found;
    }

    bool hasRun(const std::string& id)
    {
        auto all = targets();
        return std::any_of(all.begin(), all.end(), [&](FakeTarget* target) {
            return std::any_of(target->runs.rbegin(), target->runs.rend(), [&](const auto& it) { return it.call == id; });
        });
    }

    void runTools(unsigned client)
    {
        HttpClient connection(testRuntime().io());
        std::string gateway = m_gateways[client % m_gateways.size()];
        for (unsigned n = 0; !m_isOver; ++n) {
            std::string id = fmt::format("t{}-{}", client, n);
            const char* path = n % 2 ? "/pay/x" : "/work/x";
            Result result = call(connection, gateway, path, { { "x-basilpoint-program-id", fmt::format("tools-{}", client) } }, id, "body-" + id);
            if (result.status == 200 && result.body != "done " + id)
                violation(fmt::format("call {} was answered with '{}'", id, result.body));
            if (result.status == 0)
                gateway = otherGateway(gateway);
            pause(std::chrono::milliseconds(10 + draw(60)));
        }
    }

    void runProgram(unsigned client)
    {
        HttpClient connection(testRuntime().io());
        std::string gateway = m_gateways[client % m_gateways.size()];
        for (unsigned program = 0; !m_isOver; ++program) {
            std::string name = fmt::format("p{}-{}", client, program);
            std::uint64_t budget = 100 + 40 * draw(6);
            std::uint64_t handedOut = 0;
            std::string previous;
            std::string history;
            for (unsigned n = 0; !m_isOver && n < 12; ++n) {
                std::string id = fmt::format("{}-{}", name, n);
                std::string input = "in-" + id + ";";
                HttpHeaders headers { { "x-basilpoint-program-id", name }, { "x-basilpoint-session-id", "s" }, { "x-basilpoint-token-budget", std::to_string(budget) }, { "x-basilpoint-token-count", fmt::format("50,{}", maxTokensPerTurn) } };
                if (!previous.empty())
                    headers["x-basilpoint-previous-turn"] = previous;
                m_histories[id] = history + input;
                Result result = call(connection, gateway, "/stream/x", headers, id, input);
                if (result.status == 402)
                    break;
                if (result.status == 404)
                    violation(fmt::format("turn {}, which was answered whole, is not found", previous));
                if (result.status == 0)
                    gateway = otherGateway(gateway);
                if (result.status != 200) {
                    pause(std::chrono::milliseconds(50 + draw(150)));
                    continue;
                }
                std::string output = fmt::format("one-{}\ntwo-{}\n", id, id);
                if (result.body != fmt::format("id: one\ndata: one-{}\n\nid: two\ndata: two-{}\n\n", id, id))
                    violation(fmt::format("turn {} was answered with '{}'", id, result.body));
                handedOut += 2 * tokensPerEvent;
                if (handedOut > budget + maxTokensPerTurn)
                    violation(fmt::format("program {} got {} tokens of a budget of {}", name, handedOut, budget));
                previous = id;
                history += input + output;
                pause(std::chrono::milliseconds(10 + draw(40)));
            }
        }
    }

    /// Checks what targets ran, once nothing runs any more.
    void checkRuns()
    {
        std::map<std::string, unsigned> runs;
        for (FakeTarget* target : targets())
            for (const auto& it : target->runs) {
                auto call = m_sent.find(it.call);
                if (call == m_sent.end()) {
                    violation(fmt::format("{} ran {}, which no client sent", target->id(), it.call));
                    continue;
                }
                auto organisation = it.headers.find(organisationHeader);
                if (organisation == it.headers.end() || organisation->second != call->second.organisation)
                    violation(fmt::format("call {} of {} ran for '{}'", it.call, call->second.organisation, organisation == it.headers.end() ? "" : organisation->second));
                if (it.headers.contains(keyHeader))
                    violation(fmt::format("{} got the key of call {}", target->id(), it.call));
                if (++runs[it.call] == 2 && !call->second.mayRepeat)
                    violation(fmt::format("call {} ran twice", it.call));
                if (call->second.isPromisedNotRun)
                    violation(fmt::format("call {} ran although its caller was told that it had not", it.call));
                auto history = m_histories.find(it.call);
                if (it.body != (history == m_histories.end() ? call->second.body : history->second))
                    violation(fmt::format("call {} ran with the body '{}'", it.call, it.body));
            }
    }

    // Several of these run at once, so that signals to one process follow each other at any distance.
    void disturbGateways()
    {
        while (!m_isOver) {
            wait(1'500ms);
            std::string name = m_gateways[draw(m_gateways.size())];
            // Another fiber may start the gateway anew meanwhile.
            std::shared_ptr<Process> process = m_deployment.processes[name];
            // Before its main function begins, a process cannot decide what a signal does.
            if (!process->running() || !Deployment::awaitBegin(*process))
                continue;
            // Of these, planned work has stops (0) and signals to reload (4) only.
            switch (m_isPlanned ? 4 * draw(2) : draw(6)) {
            case 0:
            case 1:
                process->signal(SIGTERM);
                m_stopping.insert(process->id());
                if (draw(2) == 0)
                    process->signal(SIGHUP);
                if (draw(3) == 0)
                    process->signal(SIGTERM);
                restartOnceEnded(name);
                break;
            case 2:
                m_disturbedAt[name] = std::chrono::steady_clock::now() + 1h;
                process->signal(SIGKILL);
                disturb(name, std::chrono::steady_clock::now());
                restartOnceEnded(name);
                m_disturbedAt[name] = std::chrono::steady_clock::now();
                break;
            case 3:
                m_disturbedAt[name] = std::chrono::steady_clock::now() + 1h;
                process->signal(SIGSTOP);
                pause(std::chrono::milliseconds(100 + draw(1'500)));
                process->signal(SIGCONT);
                m_disturbedAt[name] = std::chrono::steady_clock::now() + 500ms;
                disturb(name, m_disturbedAt[name]);
                break;
            case 4:
            case 5:
                for (std::size_t n = 1 + draw(5); n > 0; --n) {
                    process->signal(SIGHUP);
                    pause(std::chrono::milliseconds(draw(30)));
                }
                checkEnd(name, *process);
                break;
            }
        }
    }

    /// Checks that a process which has ended was killed or told to stop. A signal may follow the one that stopped it.
    void checkEnd(const std::string& name, Process& process)
    {
        if (process.running() || process.endingSignal() == SIGKILL)
            return;
        bool isLateSignal = process.endingSignal() == SIGTERM || process.endingSignal() == SIGHUP;
        bool isStop = m_stopping.contains(process.id()) && (process.exitStatus() == 0 || isLateSignal);
        if (!isStop)
            violation(fmt::format("gateway {} ended by itself: signal {}, status {}", name, process.endingSignal(), process.exitStatus()));
    }

    void restartOnceEnded(const std::string& name)
    {
        std::shared_ptr<Process> ending = m_deployment.processes[name];
        bool hasEnded = eventually([&] { return m_deployment.processes[name] != ending || !ending->running(); }, 12s);
        if (!hasEnded)
            violation(fmt::format("gateway {} has not ended within 12 s of the signal", name));
        if (m_deployment.processes[name] != ending || !hasEnded)
            return;
        checkEnd(name, *ending);
        startGateway(name);
        if (draw(2) == 0 && Deployment::awaitBegin(*m_deployment.processes[name])) {
            m_deployment.processes[name]->signal(SIGHUP);
            pause(200ms);
            checkEnd(name, *m_deployment.processes[name]);
        }
    }

    void disturbKeepers()
    {
        const std::map<std::string, std::string> zones { { "k1", "z" }, { "k2", "y" }, { "k3", "x" } };
        while (!m_isOver) {
            wait(m_isPlanned ? 1s : 4s);
            auto it = std::next(zones.begin(), static_cast<std::ptrdiff_t>(draw(zones.size())));
            m_deployment.processes[it->first]->signal(draw(2) && !m_isPlanned ? SIGKILL : SIGTERM);
            eventually([&] { return !m_deployment.processes[it->first]->running(); });
            pause(std::chrono::milliseconds(draw(600)));
            m_deployment.start(it->first, false, it->second);
            // No more than one keeper is down or has just returned.
            wait(m_isPlanned ? 1s : 3s);
        }
    }

    // A gateway that is disturbed may be the relay of the others.
    void disturb(const std::string& name, Time until)
    {
        for (auto& [gateway, at] : m_disturbedAt)
            if (m_hasCuts || gateway == name)
                at = std::max(at, until);
    }

    // Cuts of all gateways may overlap.
    void disturbPaths()
    {
        for (const std::string& it : m_gateways)
            start([this, name = it] {
                while (!m_isOver) {
                    wait(3s);
                    auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(100 + draw(3'000));
                    disturb(name, end);
                    m_deployment.cut(name, static_cast<CutKind>(draw(3)));
                    pause(std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now()));
                    m_deployment.heal(name);
                    disturb(name, std::chrono::steady_clock::now());
                }
            });
    }

    void disturbStore()
    {
        while (!m_isOver) {
            wait(m_isPlanned ? 1s : 4s);
            if (m_isPlanned)
                m_deployment.store.latency = std::chrono::milliseconds(draw(maxStoreLatency));
            else
                m_deployment.store.isDown = true;
            pause(std::chrono::milliseconds(100 + draw(2'000)));
            if (m_isPlanned)
                m_deployment.store.latency = usualStoreLatency;
            m_deployment.store.isDown = false;
            m_storeBackAt = std::chrono::steady_clock::now();
        }
    }

    void disturbTargets()
    {
        auto all = targets();
        while (!m_isOver) {
            wait(1'500ms);
            FakeTarget& target = *all[draw(all.size())];
            switch (draw(4)) {
            case 0:
                m_targetsDisturbedAt = std::chrono::steady_clock::now() + 1h;
                target.crash();
                pause(std::chrono::milliseconds(draw(500)));
                target.restart();
                m_deployment.put(target);
                m_targetsDisturbedAt = std::chrono::steady_clock::now();
                break;
            case 1:
                m_deployment.put(target, "draining");
                pause(std::chrono::milliseconds(300 + draw(700)));
                target.restart();
                // Calls under way at the target are cut off by its restart.
                m_targetsDisturbedAt = std::chrono::steady_clock::now();
                m_deployment.put(target);
                break;
            case 2:
                target.answerHeaders["server-limit"] = std::to_string(1 + draw(20));
                pause(std::chrono::milliseconds(300 + draw(1'000)));
                target.answerHeaders.clear();
                break;
            case 3:
                m_targetsDisturbedAt = std::chrono::steady_clock::now() + 1h;
                target.losesAnswers = true;
                pause(std::chrono::milliseconds(50 + draw(200)));
                target.losesAnswers = false;
                m_targetsDisturbedAt = std::chrono::steady_clock::now();
                break;
            }
        }
    }

    void changeConfiguration()
    {
        while (!m_isOver) {
            wait(2s);
            for (std::size_t n = 1 + draw(3); n > 0; --n) {
                m_prefixes.push_back(fmt::format("/new{}/", ++m_version));
                m_hasVisitor = draw(2) == 0;
                putOrganisations();
                m_deployment.putConfiguration(m_version, m_prefixes);
                pause(std::chrono::milliseconds(draw(100)));
            }
            Time changedAt = std::chrono::steady_clock::now();
            pause(configurationLimit + 500ms);
            for (const std::string& it : m_gateways) {
                bool wasDown = m_deployment.store.isDown || m_storeBackAt > changedAt - 500ms;
                bool wasDisturbed = m_disturbedAt[it] > changedAt - 3s || !m_deployment.processes[it]->running();
                if (wasDown || wasDisturbed)
                    continue;
                HttpClient connection(testRuntime().io());
                Result result = call(connection, it, m_prefixes.back() + "x", {}, fmt::format("new-{}-{}", m_version, it), "new");
                if (result.status == 404)
                    violation(fmt::format("gateway {} does not know the route {}", it, m_prefixes.back()));
                checkVisitor(connection, it);
            }
        }
    }

    /// Organisations for the next configuration. Two stay, with a lasting key each and one that changes with each version;
    /// a third one comes and goes.
    void putOrganisations()
    {
        nlohmann::json organisations = nlohmann::json::array();
        for (const char* it : { "acme", "bolt" })
            organisations.push_back({ { "name", it }, { "apiKeys", { lastingKeyOf(it), fmt::format("{}-{}", it, m_version) } }, { "priority", 1 } });
        if (m_hasVisitor)
            organisations.push_back({ { "name", "visitor" }, { "apiKeys", { visitorKey } } });
        m_deployment.setOrganisations(std::move(organisations));
    }

    static std::string lastingKeyOf(const std::string& organisation) { return "lasting-" + organisation; }
    /// The same for all calls of a client.
    static std::string organisationOf(const std::string& id) { return hash64(id.substr(0, id.find('-'))) % 2 == 0 ? "acme" : "bolt"; }

    /// Checks that the key of the organisation that comes and goes is valid if the configuration says so, once it is in force.
    void checkVisitor(HttpClient& connection, const std::string& gateway)
    {
        HttpCallOptions options;
        options.resendOnStale = false;
        options.deadline = std::chrono::steady_clock::now() + m_callDeadline + lateness;
        HttpHeaders headers { { "host", "h.example" }, { "x-basilpoint-request-id", fmt::format("visit-{}-{}", m_version, gateway) }, { "x-basilpoint-deadline-ms", std::to_string(m_callDeadline.count()) }, { keyHeader, visitorKey } };
        m_sent[headers["x-basilpoint-request-id"]] = { gateway, "visit", true, false, "visitor" };
        try {
            int status = connection.call({ "127.0.0.1", static_cast<std::uint16_t>(m_deployment.instances[gateway].callers) }, { "POST", "/work/x", headers, "visit" }, options).status;
            if (status == (m_hasVisitor ? 401 : 200))
                violation(fmt::format("gateway {} answered {} to a key that is {} in version {}", gateway, status, m_hasVisitor ? "valid" : "invalid", m_version));
        } catch (const TargetError&) {
            // The gateway may be disturbed meanwhile, as for every call here.
            return;
        }
    }

    void keepLogs()
    {
        auto target = std::filesystem::temp_directory_path() / fmt::format("basilpoint-soak-{}", m_seed);
        std::error_code ec;
        std::filesystem::remove_all(target, ec);
        std::filesystem::copy(m_deployment.folder, target, std::filesystem::copy_options::recursive, ec);
        BOOST_TEST_MESSAGE("logs are kept in " << target << (ec ? ": " + ec.message() : ""));
    }

    // Never deleted, since fibers of the fakes use it until the process ends.
    Deployment& m_deployment;
    RandomEngine::result_type m_seed;
    bool m_isScarce;
    bool m_hasCuts;
    bool m_hasMany;
    bool m_isPlanned;
    std::chrono::milliseconds m_callDeadline;
    std::vector<std::string> m_gateways;
    RandomEngine m_random;
    int m_version = 3;
    /// Whether the configuration has the organisation that comes and goes.
    bool m_hasVisitor = false;
    std::vector<std::string> m_prefixes { "/work/" };
    bool m_isOver = false;
    unsigned m_fibers = 0;
    unsigned m_served = 0;
    std::map<std::string, Sent> m_sent;
    /// Bodies that targets must get, by turn.
    std::map<std::string, std::string> m_histories;
    std::vector<std::string> m_violations;
    /// Processes that were told to stop.
    std::set<pid_t> m_stopping;
    /// Time up to which a gateway's calls may be cut off.
    std::map<std::string, Time> m_disturbedAt;
    Time m_targetsDisturbedAt = Time::min();
    Time m_storeBackAt = Time::min();
};

} // namespace

void basilpoint::test::soak(std::vector<RandomEngine::result_type> seeds, Disturbances disturbances)
{
    if (const char* text = std::getenv("BASILPOINT_SOAK_SEED"))
        seeds = { std::strtoull(text, nullptr, 10) };
    inFiber([&] {
        for (auto it : seeds)
            (new Soak(it, it % 3 == 0, disturbances))->run();
    });
}
