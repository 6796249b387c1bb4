#include "CallFormat.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

BOOST_AUTO_TEST_SUITE(CallFormatTest)

BOOST_AUTO_TEST_CASE(readsTheCallAttributesOfATurn)
{
    HttpRequest request { "POST", "/a/b", { { "x-basilpoint-request-id", "r1" }, { "x-basilpoint-deadline-ms", "3000" }, { "x-basilpoint-program-id", "p1" }, { "x-basilpoint-session-id", "s1" }, { "x-basilpoint-finish-ms", "5200.5" }, { "x-basilpoint-token-budget", "2304" }, { "x-basilpoint-token-count", "1840,288" }, { "x-basilpoint-previous-turn", "r0" }, { "x-basilpoint-prompt-prefix", "5c1e:800,bad,91bd:410" } }, "in" };
    CallAttributes call = platform::callFormat().readCall(request);
    BOOST_TEST(call.call.text() == "r1");
    BOOST_TEST((*call.timeLeft == Milliseconds(3000)));
    BOOST_TEST(call.program.text() == "p1");
    BOOST_TEST(call.session == "s1");
    BOOST_TEST((*call.programTimeLeft == Milliseconds(5200)));
    BOOST_TEST(*call.budget == 2304U);
    BOOST_TEST(call.promptTokens == 1840U);
    BOOST_TEST(call.maxTokens == 288U);
    BOOST_TEST(call.previousTurn.text() == "r0");
    BOOST_REQUIRE(call.promptParts.size() == 2U);
    BOOST_TEST(call.promptParts[1].tokens == 410U);
}

BOOST_AUTO_TEST_CASE(invalidNumbersCountAsMissing)
{
    HttpRequest request { "GET", "/", { { "x-basilpoint-deadline-ms", "-1" }, { "x-basilpoint-token-budget", "many" }, { "x-basilpoint-token-count", "7" } }, "" };
    CallAttributes call = platform::callFormat().readCall(request);
    BOOST_TEST(!call.timeLeft);
    BOOST_TEST(!call.budget);
    BOOST_TEST(call.maxTokens == 0U);
    BOOST_TEST(call.call.empty());
}

BOOST_AUTO_TEST_CASE(replacesHeadersReservedForTheSystem)
{
    HttpRequest request { "POST", "/a", { { "x-basilpoint-hold", "h" }, { "x-basilpoint-pin-ms", "4000" }, { "x-basilpoint-kv-backup", "1.2.3.4:5" }, { "kv-from", "1.2.3.4:5/x" }, { "kv-fetch", "1.2.3.4:5" }, { "x-basilpoint-expect-instance", "i-0" }, { "x-basilpoint-urgency", "0" }, { "x-basilpoint-deadline-ms", "9000" }, { "x-other", "kept" } }, "" };
    platform::callFormat().writeTargetCall(request, { TargetId("i-1"), Milliseconds(120), 5 });
    HttpHeaders expected { { "x-basilpoint-expect-instance", "i-1" }, { "x-basilpoint-deadline-ms", "120" }, { "x-basilpoint-urgency", "5" }, { "x-other", "kept" } };
    BOOST_TEST((request.headers == expected));
}

BOOST_AUTO_TEST_CASE(keysAreReadAndRemovedAndOrganisationsAreSet)
{
    WireFormat format = platform::callFormat();
    HttpRequest request { "POST", "/a", { { "x-api-key", "secret" }, { "x-basilpoint-tenant", "forged" }, { "x-basilpoint-affinity-key", "o" } }, "" };
    BOOST_TEST(format.readCall(request).key == "secret");
    BOOST_TEST(format.readCall(request).affinityKey == "o");
    format.removeCallerIdentity(request);
    format.writeTargetCall(request, { TargetId("i-1"), Milliseconds(120), {}, "org", "h-1" });
    HttpHeaders expected { { "x-basilpoint-expect-instance", "i-1" }, { "x-basilpoint-deadline-ms", "120" }, { "x-basilpoint-affinity-key", "o" }, { "x-basilpoint-tenant", "org" }, { "x-basilpoint-hold", "h-1" } };
    BOOST_TEST((request.headers == expected));
}

BOOST_AUTO_TEST_CASE(reservationsAreMadeReadAndDropped)
{
    ReservationFormat format = platform::callFormat().reservations;
    HttpRequest request = format.make(1200, Milliseconds(900));
    BOOST_TEST(request.method == "POST");
    BOOST_TEST(request.target == "/-/hold-take");
    BOOST_TEST(request.body == R"({"tokens":1200,"ttlMs":900})");
    BOOST_TEST(format.read({ 200, {}, R"({"hold":"h-7"})" }) == "h-7");
    for (const char* it : { "", "[]", "{}", R"({"hold":7})" })
        BOOST_TEST(format.read({ 200, {}, it }).empty());
    BOOST_TEST(format.read({ 503, {}, R"({"hold":"h-7"})" }).empty());
    BOOST_TEST(format.drop("h-7").method == "DELETE");
    BOOST_TEST(format.drop("h-7").target == "/-/hold-drop/h-7");
}

BOOST_AUTO_TEST_CASE(distinguishesRefusalsFromOtherResponses)
{
    auto read = platform::callFormat().readResponse;
    BOOST_TEST(read({ 503, { { "x-basilpoint-not-run", "1" } }, {} }).isNotRun);
    BOOST_TEST(read({ 421, { { "x-basilpoint-instance-id", "i-2" } }, {} }).isNotRun);
    BOOST_TEST(!read({ 503, {}, {} }).isNotRun);
    BOOST_TEST(!read({ 500, { { "x-basilpoint-server-stamp", "s" } }, {} }).isNotRun);
    BOOST_TEST(read({ 200, { { "x-basilpoint-server-stamp", "s" }, { "x-basilpoint-request-id", "r" } }, {} }).isSigned);
}

BOOST_AUTO_TEST_CASE(limitIsReadFromTheTargetsOwnAnswersAndRefusals)
{
    auto read = platform::callFormat().readResponse;
    BOOST_TEST(*read({ 200, { { "x-basilpoint-server-stamp", "s" }, { "server-limit", "5.9" } }, {} }).callsPerSecond == 5.9);
    BOOST_TEST(*read({ 503, { { "x-basilpoint-not-run", "1" }, { "server-limit", "2" } }, {} }).callsPerSecond == 2);
    BOOST_TEST(!read({ 421, { { "x-basilpoint-instance-id", "i-2" }, { "server-limit", "2" } }, {} }).callsPerSecond);
    BOOST_TEST(!read({ 421, { { "x-basilpoint-instance-id", "i-2" } }, {} }).describesTarget);
    for (const char* it : { "", "-1", "many", "nan" })
        BOOST_TEST(!read({ 200, { { "x-basilpoint-server-stamp", "s" }, { "server-limit", it } }, {} }).callsPerSecond);
}

BOOST_AUTO_TEST_CASE(shutdownIsReadFromTheTargetsOwnAnswersAndRefusals)
{
    auto read = platform::callFormat().readResponse;
    BOOST_TEST(read({ 200, { { "x-basilpoint-server-stamp", "s" }, { "server-leaving", "1" } }, {} }).isLeaving);
    BOOST_TEST(read({ 503, { { "x-basilpoint-not-run", "1" }, { "server-leaving", "1" } }, {} }).isLeaving);
    BOOST_TEST(!read({ 200, { { "x-basilpoint-server-stamp", "s" }, { "server-leaving", "0" } }, {} }).isLeaving);
    BOOST_TEST(!read({ 421, { { "x-basilpoint-instance-id", "i-2" }, { "server-leaving", "1" } }, {} }).isLeaving);
}

BOOST_AUTO_TEST_SUITE_END()
