#include "CutDay.h"

#include "../Net/RawSocket.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Support/Random.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <iterator>

using namespace basilpoint;
using namespace basilpoint::test;

namespace {

using Json = nlohmann::json;

constexpr const char* keyHeader = "x-api-key";
constexpr const char* organisationHeader = "x-basilpoint-tenant";
constexpr const char* urgencyHeader = "x-basilpoint-urgency";
constexpr const char* keyOfAcme = "secret-of-acme";
constexpr const char* keyOfBolt = "secret-of-bolt";
constexpr const char* removedKey = "secret-that-is-removed";
constexpr int fuzzedRequests = 600;

Json organisation(const char* name, const std::vector<std::string>& keys, int priority)
{
    return { { "name", name }, { "apiKeys", keys }, { "priority", priority }, { "ratePerS", 0 }, { "burst", 0 } };
}

Json bothOrganisations(const std::vector<std::string>& keysOfBolt = { keyOfBolt })
{
    return Json::array({ organisation("acme", { keyOfAcme }, 0), organisation("bolt", keysOfBolt, 2) });
}

/// Two gateways with organisations. At its end no log shows a key and no target has got one.
class IdentityDay {
public:
    IdentityDay()
        : deployment(*new Deployment)
    {
        deployment.setOrganisations(bothOrganisations());
        deployment.publicPrefixes = { "/open/" };
        deployment.putConfiguration(version, { "/work/" });
        startAll(deployment, { { "keeper", defaultZone } });
        pause(500ms);
    }

    void setOrganisations(const Json& organisations)
    {
        deployment.setOrganisations(organisations);
        deployment.putConfiguration(++version, { "/work/" });
    }

    int call(const std::string& at, const std::string& path, HttpHeaders headers = {})
    {
        headers.emplace("x-basilpoint-deadline-ms", "2000");
        return deployment.statusAt(deployment.instances[at].callers, "POST", path, std::move(headers), "body");
    }

    int turn(const char* key, const std::string& at, const std::string& id, const std::string& previous = {}, const std::string& program = "p1", int budget = 1'000)
    {
        deployment.callerHeaders = { { keyHeader, key } };
        int status = deployment.turn(at, id, previous, "in-" + id + ";", program, budget);
        deployment.callerHeaders.clear();
        return status;
    }

    void end()
    {
        checkNoKeyLeft(deployment);
        deployment.end();
    }

    static std::string logOf(const Deployment& deployment, const std::string& process)
    {
        std::ifstream file(deployment.folder / (process + ".log"));
        return { std::istreambuf_iterator<char>(file), {} };
    }

    static void checkNoKeyLeft(Deployment& deployment)
    {
        for (const auto& [name, process] : deployment.processes)
            for (const char* key : { keyOfAcme, keyOfBolt, removedKey })
                BOOST_TEST(logOf(deployment, name).find(key) == std::string::npos, "a key is in the log of " << name);
        for (const FakeTarget* target : { &deployment.engine, &deployment.spare, &deployment.tool })
            for (const auto& run : target->runs)
                for (const auto& [name, value] : run.headers)
                    BOOST_TEST((name != keyHeader && value.find("secret-of") == std::string::npos), target->id() << " got a key with call " << run.call << " in " << name);
    }

    // Never deleted, since fibers of the fakes use it until the process ends.
    Deployment& deployment;
    int version = 10;
};

std::string organisationOf(const FakeTarget::Run& run)
{
    auto it = run.headers.find(organisationHeader);
    return it == run.headers.end() ? "" : it->second;
}

const FakeTarget::Run* runOf(const FakeTarget& target, const std::string& call)
{
    auto it = std::find_if(target.runs.begin(), target.runs.end(), [&](const auto& run) { return run.call == call; });
    return it == target.runs.end() ? nullptr : &*it;
}

/// Requests with keys and statements of organisations in many forms, and what each must lead to.
class RequestFuzzer {
public:
    explicit RequestFuzzer(RandomEngine::result_type seed)
        : m_random(seed)
    {
    }

    struct Request {
        std::string bytes;
        std::string call;
        bool isPublic = false;
        /// Organisation that the request belongs to; empty if it has none.
        std::string organisation;
        /// Whether HTTP leaves open what the request says, so that it may be rejected.
        bool isMalformed = false;
    };

    Request next(int n)
    {
        Request request;
        request.call = "fuzz-" + std::to_string(n);
        request.isPublic = draw(3) == 0;
        std::vector<std::string> lines { "Host: h.example", "X-Basilpoint-Request-Id: " + request.call, "X-Basilpoint-Deadline-Ms: 2000" };
        addKeys(request, lines);
        for (std::size_t count = draw(3); count > 0; --count)
            lines.push_back(inSomeCase("X-Basilpoint-Tenant") + ": " + pick({ "acme", "bolt", "", "acme, bolt", "nobody" }));
        // In one line, since the server reads whether to keep the connection from the first one only.
        lines.push_back(pick({ "Connection: close", "Connection: close, X-Api-Key", "Connection: x-basilpoint-tenant, close", "Connection: X-Basilpoint-Tenant, X-Api-Key, close" }));
        if (draw(4) == 0)
            lines.push_back(pick({ "X_Api_Key: other", "X-Api-Keys: other", "X-Basilpoint-Tenants: acme" }));
        std::string body = addBody(request, lines);
        std::shuffle(lines.begin() + 1, lines.end(), m_random);
        request.bytes = fmt::format("POST /{}/x HTTP/1.1\r\n", request.isPublic ? "open" : "work");
        for (const std::string& it : lines)
            request.bytes += it + "\r\n";
        request.bytes += "\r\n" + body;
        return request;
    }

private:
    std::size_t draw(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random); }
    std::string pick(const std::vector<std::string>& choices) { return choices[draw(choices.size())]; }

    std::string inSomeCase(std::string name)
    {
        for (char& c : name)
            c = draw(2) ? static_cast<char>(std::toupper(static_cast<unsigned char>(c))) : static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        return name;
    }

    void addKeys(Request& request, std::vector<std::string>& lines)
    {
        std::vector<std::string> values;
        for (std::size_t count = pick({ "0", "1", "1", "1", "1", "2" })[0] - '0'; count > 0; --count)
            values.push_back(pick({ keyOfAcme, keyOfBolt, keyOfAcme, keyOfBolt, "", "unknown", std::string(keyOfAcme) + "x", std::string(keyOfAcme) + ", " + keyOfBolt, std::string("Bearer ") + keyOfBolt, "SECRET-OF-ACME", "acme" }));
        for (const std::string& it : values)
            lines.push_back(inSomeCase("X-Api-Key") + ":" + pick({ "", " ", "  ", "\t" }) + it + pick({ "", " ", "\t " }));
        if (values.size() == 1)
            request.organisation = values[0] == keyOfAcme ? "acme" : values[0] == keyOfBolt ? "bolt"
                                                                                            : "";
        if (draw(12) == 0) {
            lines.push_back(pick({ "X-Api-Key : ", "X-Api-Key\t: " }) + keyOfAcme);
            request.isMalformed = true;
        }
    }

    // A body may look like a request of its own, with the key of another organisation.
    std::string addBody(Request& request, std::vector<std::string>& lines)
    {
        std::string body = pick({ "", "body", fmt::format("POST /work/x HTTP/1.1\r\nHost: h.example\r\nX-Basilpoint-Request-Id: smuggled\r\nX-Api-Key: {}\r\nContent-Length: 0\r\n\r\n", keyOfBolt) });
        if (draw(3) == 0) {
            lines.emplace_back("Transfer-Encoding: chunked");
            if (draw(6) == 0) {
                lines.push_back(fmt::format("Content-Length: {}", draw(body.size() + 1)));
                request.isMalformed = true;
            }
            std::string chunk = body.empty() ? "" : fmt::format("{:x}\r\n{}\r\n", body.size(), body);
            std::string trailer;
            // Trailers are no headers.
            if (draw(3) == 0)
                trailer = fmt::format("X-Api-Key: {}\r\nX-Basilpoint-Tenant: bolt\r\n", keyOfBolt);
            return chunk + "0\r\n" + trailer + "\r\n";
        }
        lines.push_back(fmt::format("Content-Length: {}", body.size()));
        return body;
    }

    RandomEngine m_random;
};

} // namespace

BOOST_AUTO_TEST_SUITE(IdentityTest)

// Guards against keys that reach targets, and against callers that state an organisation which is not theirs, however the
// headers are written. BASILPOINT_IDENTITY_SEED runs another seed.
BOOST_AUTO_TEST_CASE(targetsGetNoKeyAndTheRightOrganisationHoweverHeadersAreWritten)
{
    const char* seedText = std::getenv("BASILPOINT_IDENTITY_SEED");
    RandomEngine::result_type seed = seedText ? std::strtoull(seedText, nullptr, 10) : 20261204;
    inFiber([seed] {
        auto& day = *new IdentityDay;
        RequestFuzzer fuzzer(seed);
        const FakeTarget& tool = day.deployment.tool;
        Endpoint gateway { "127.0.0.1", static_cast<std::uint16_t>(day.deployment.instances["a"].callers) };
        unsigned served = 0;
        for (int n = 0; n < fuzzedRequests; ++n) {
            auto request = fuzzer.next(n);
            std::size_t runsBefore = tool.runs.size();
            std::string answer = exchangeRaw(gateway, request.bytes);
            const FakeTarget::Run* run = runOf(tool, request.call);
            BOOST_TEST_CONTEXT("seed " << seed << ", request:\n"
                                       << request.bytes << "\nanswer:\n"
                                       << answer)
            {
                BOOST_TEST(tool.runs.size() - runsBefore <= 1U);
                BOOST_TEST((tool.runs.size() == runsBefore || run), "another call than the one that was sent has run");
                bool mayRun = request.isPublic || !request.organisation.empty();
                if (run) {
                    ++served;
                    BOOST_TEST(mayRun);
                    BOOST_TEST(organisationOf(*run) == request.organisation);
                }
                if (!request.isMalformed)
                    BOOST_TEST(answer.starts_with(mayRun ? "HTTP/1.1 200" : "HTTP/1.1 401"));
            }
        }
        BOOST_TEST(served > 100U);
        day.end();
    });
}

BOOST_AUTO_TEST_CASE(statusTellsUnknownRoutesFromUnknownKeys)
{
    inFiber([] {
        auto& day = *new IdentityDay;
        for (const char* key : { "", "unknown", keyOfAcme })
            BOOST_TEST(day.call("a", "/nowhere/x", { { keyHeader, key } }) == 404);
        BOOST_TEST(day.call("a", "/work/x") == 401);
        BOOST_TEST(day.call("a", "/work/x", { { keyHeader, "unknown" } }) == 401);
        BOOST_TEST(day.call("a", "/work/x", { { keyHeader, keyOfAcme } }) == 200);
        BOOST_TEST(organisationOf(day.deployment.tool.runs.back()) == "acme");
        BOOST_TEST(day.call("a", "/open/x", { { organisationHeader, "acme" } }) == 200);
        BOOST_TEST(organisationOf(day.deployment.tool.runs.back()).empty());
        BOOST_TEST(day.call("a", "/open/x", { { keyHeader, "unknown" } }) == 200);
        BOOST_TEST(organisationOf(day.deployment.tool.runs.back()).empty());
        BOOST_TEST(day.call("a", "/open/x", { { keyHeader, keyOfBolt }, { organisationHeader, "acme" } }) == 200);
        BOOST_TEST(organisationOf(day.deployment.tool.runs.back()) == "bolt");
        day.end();
    });
}

// Guards against a deployment without organisations that is served otherwise than before.
BOOST_AUTO_TEST_CASE(headersPassUnchangedWithoutOrganisations)
{
    inFiber([] {
        auto& deployment = *new Deployment;
        deployment.putConfiguration(10, { "/work/" });
        startAll(deployment, { { "keeper", defaultZone } });
        pause(500ms);
        BOOST_TEST(deployment.statusAt(deployment.instances["a"].callers, "POST", "/work/x", { { keyHeader, "k" }, { organisationHeader, "acme" } }, "body") == 200);
        BOOST_TEST(deployment.tool.runs.back().headers[keyHeader] == "k");
        BOOST_TEST(organisationOf(deployment.tool.runs.back()) == "acme");
        deployment.end();
    });
}

// Guards against keys that are checked once for a connection, or against a version that is no longer in force.
BOOST_AUTO_TEST_CASE(keyThatIsRemovedAndAddedAgainCountsOnOpenConnections)
{
    inFiber([] {
        auto& day = *new IdentityDay;
        HttpClient connection(testRuntime().io());
        int calls = 0;
        auto status = [&](const char* key) {
            HttpCallOptions options;
            options.resendOnStale = false;
            HttpHeaders headers { { "host", "h.example" }, { "x-basilpoint-request-id", "open-" + std::to_string(++calls) }, { "x-basilpoint-deadline-ms", "2000" }, { keyHeader, key } };
            // A connection that the gateway has closed gives an error here.
            return connection.call({ "127.0.0.1", static_cast<std::uint16_t>(day.deployment.instances["a"].callers) }, { "POST", "/work/x", headers, "body" }, options).status;
        };
        day.setOrganisations(bothOrganisations({ keyOfBolt, removedKey }));
        BOOST_TEST(eventually([&] { return status(removedKey) == 200; }, 2s));
        for (int n = 0; n < 2; ++n) {
            day.setOrganisations(bothOrganisations());
            BOOST_TEST(eventually([&] { return status(removedKey) == 401; }, 2s));
            BOOST_TEST(status(keyOfBolt) == 200);
            day.setOrganisations(bothOrganisations({ keyOfBolt, removedKey }));
            BOOST_TEST(eventually([&] { return status(removedKey) == 200; }, 2s));
        }
        connection.closeIdle({});
        day.end();
    });
}

// Guards against callers that go on with, or spend the budget of, programs of another organisation.
BOOST_AUTO_TEST_CASE(turnsAndBudgetsBelongToTheirOrganisation)
{
    inFiber([] {
        auto& day = *new IdentityDay;
        BOOST_TEST(day.turn(keyOfAcme, "a", "t1") == 200);
        for (const char* at : { "a", "b" }) {
            BOOST_TEST(day.turn(keyOfBolt, at, std::string("stolen-") + at, "t1") == 404);
            BOOST_TEST(day.turn(keyOfBolt, at, std::string("scoped-") + at, "4-acme-t1", "4-acme-p1") == 404);
        }
        BOOST_TEST(day.turn(keyOfBolt, "b", "t1") == 200);
        BOOST_TEST(day.turn(keyOfAcme, "b", "t2", "t1") == 200);
        const FakeTarget::Run* last = runOf(day.deployment.engine, "t2");
        BOOST_REQUIRE(last);
        BOOST_TEST(last->body == "in-t1;one-t1\ntwo-t1\nin-t2;");
        BOOST_TEST(organisationOf(*last) == "acme");
        // A program that has spent its budget does not spend that of the other organisation's program.
        std::string previous;
        int status = 200;
        for (int n = 0; n < 20 && status == 200; ++n) {
            std::string id = "spend-" + std::to_string(n);
            status = day.turn(keyOfAcme, n % 2 ? "a" : "b", id, previous, "p2", 100);
            previous = id;
        }
        BOOST_TEST(status == 402);
        BOOST_TEST(day.turn(keyOfBolt, "a", "own-1", {}, "p2", 100) == 200);
        BOOST_TEST(day.turn(keyOfBolt, "b", "own-2", "own-1", "p2", 100) == 200);
        // The same after a restart, when only the store knows the turns.
        BOOST_REQUIRE(day.deployment.kill("a"));
        day.deployment.start("a", true);
        BOOST_REQUIRE(eventually([&] { return day.deployment.isReady("a"); }));
        BOOST_TEST(day.turn(keyOfBolt, "a", "stolen-later", "t2") == 404);
        BOOST_TEST(day.turn(keyOfAcme, "a", "t3", "t2") == 200);
        day.end();
    });
}

// Guards against a version that locks everybody out, or lets keys of two organisations in.
BOOST_AUTO_TEST_CASE(invalidConfigurationLeavesThePreviousOneInForce)
{
    inFiber([] {
        auto& day = *new IdentityDay;
        day.setOrganisations(Json::array({ organisation("acme", { keyOfAcme }, 0), organisation("bolt", { keyOfAcme, removedKey }, 0) }));
        BOOST_TEST(eventually([&] { return IdentityDay::logOf(day.deployment, "a").find("configuration-refused") != std::string::npos; }));
        BOOST_TEST(day.call("a", "/work/x", { { keyHeader, keyOfBolt } }) == 200);
        BOOST_TEST(day.call("a", "/work/x", { { keyHeader, removedKey } }) == 401);
        BOOST_TEST(day.call("a", "/work/x", { { keyHeader, keyOfAcme } }) == 200);
        BOOST_TEST(organisationOf(day.deployment.tool.runs.back()) == "acme");
        day.setOrganisations(bothOrganisations({ removedKey }));
        BOOST_TEST(eventually([&] { return day.call("a", "/work/x", { { keyHeader, removedKey } }) == 200; }, 2s));
        BOOST_TEST(day.call("a", "/work/x", { { keyHeader, keyOfBolt } }) == 401);
        day.end();
    });
}

// Guards against calls that lose their organisation, or keep their key, on their way through another gateway.
BOOST_AUTO_TEST_CASE(relayedCallsCarryTheOrganisationAndNoKey)
{
    inFiber([] {
        auto& day = *new CutDay;
        Deployment& deployment = day.deployment;
        deployment.setOrganisations(bothOrganisations());
        deployment.putConfiguration(20, { "/work/" });
        BOOST_REQUIRE(eventually([&] { return day.work("a").status == 401 && day.work("b").status == 401; }));
        deployment.callerHeaders = { { keyHeader, keyOfBolt }, { organisationHeader, "acme" } };
        day.cut("a", CutKind::Silent);
        day.serveFor(detectionLimit);
        std::size_t before = deployment.engine.runs.size() + deployment.spare.runs.size();
        for (int n = 0; n < 5; ++n) {
            BOOST_TEST(day.work("a").status == 200);
            BOOST_TEST(day.turn("a") == 200);
        }
        BOOST_TEST(deployment.engine.runs.size() + deployment.spare.runs.size() >= before + 5);
        unsigned identified = 0;
        for (FakeTarget* target : day.targets())
            for (const auto& run : target->runs) {
                // Calls before the configuration had organisations have none.
                if (organisationOf(run).empty())
                    continue;
                ++identified;
                BOOST_TEST(organisationOf(run) == "bolt");
                if (target == &deployment.engine || target == &deployment.spare)
                    BOOST_TEST(run.headers.at(urgencyHeader) == "7");
            }
        BOOST_TEST(identified >= 10U);
        IdentityDay::checkNoKeyLeft(deployment);
        BOOST_TEST(IdentityDay::logOf(deployment, "a").find("\"relay\"") != std::string::npos);
        day.heal("a");
        day.end();
    });
}

BOOST_AUTO_TEST_SUITE_END()
