#include "Documents.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

using namespace basilpoint;
using namespace basilpoint::platform;

static const std::string configurationText = R"({"version":7,"routes":[
    {"name":"r1","host":"a.example","prefix":"/x/","kind":"stream","timeoutMs":4000,"targetLatencyMs":250,"priority":1,"service":"s1","maxAttempts":2,"stateful":true,"retainS":60.0},
    {"name":"r2","host":"a.example","prefix":"/y/","kind":"idempotent","timeoutMs":1200,"split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]},
    {"name":"r3","host":"a.example","prefix":"/z/","kind":"new-kind","service":"s2"}],
  "services":[{"name":"s1","healthPath":"/health","engine":{"slots":16,"kvTokens":1000,"stride":11}},{"name":"s2"}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

static const std::string registrationText = R"({"service":"s1","addr":"10.128.0.9:8080","zone":"bp-a","version":"v1","slots":16,"state":"ready","coldLeftMs":0,"seq":4,"born":1700})";

BOOST_AUTO_TEST_SUITE(DocumentsTest)

BOOST_AUTO_TEST_CASE(decodesRoutesServicesAndLimits)
{
    auto configuration = decodeConfiguration(configurationText);
    BOOST_REQUIRE(configuration);
    BOOST_TEST(configuration->version == 7U);
    BOOST_TEST((configuration->routes[0].kind == CallKind::Stream));
    BOOST_TEST((configuration->routes[0].turnRetention == Milliseconds(60'000)));
    BOOST_TEST(configuration->routes[0].maxAttempts == 2U);
    BOOST_TEST(configuration->routes[1].services.size() == 2U);
    BOOST_TEST(configuration->routes[1].services[0].weight == 90U);
    // Calls of unknown kinds are never repeated.
    BOOST_TEST((configuration->routes[2].kind == CallKind::NonIdempotent));
    BOOST_TEST(configuration->services[0].engine->tokensPerEvent == 11U);
    BOOST_TEST(!configuration->services[1].engine);
    BOOST_TEST((configuration->limits.idleTimeout == Milliseconds(15'000)));
    BOOST_TEST(configuration->limits.maxBodyBytes == 1000U);
}

BOOST_AUTO_TEST_CASE(decodesOrganisations)
{
    BOOST_TEST(!decodeConfiguration(configurationText)->organisations);
    auto configuration = decodeConfiguration(R"({"version":8,"services":[],"routes":[{"host":"a","prefix":"/x/","kind":"stream","service":"s","public":true,"resumable":true,"sticky":true}],
      "tenants":[{"name":"o1","apiKeys":["k1","k2"],"priority":1,"ratePerS":946,"burst":12.5},{"name":"o2"}]})");
    BOOST_REQUIRE(configuration && configuration->organisations);
    std::vector<Organisation> expected { { "o1", { "k1", "k2" }, 1, 946, 12.5 }, { "o2", {}, {}, 0, 0 } };
    BOOST_TEST((*configuration->organisations == expected));
    BOOST_TEST(configuration->routes[0].isPublic);
    BOOST_TEST(configuration->routes[0].isResumable);
    BOOST_TEST(configuration->routes[0].isSticky);
}

BOOST_AUTO_TEST_CASE(decodesARegistration)
{
    auto registration = decodeRegistration("servers/i-1", registrationText);
    BOOST_REQUIRE(registration);
    BOOST_TEST(registration->id.text() == "i-1");
    BOOST_TEST(registration->endpoint.text() == "10.128.0.9:8080");
    BOOST_TEST(registration->startedAt == 1700);
    BOOST_TEST(!registration->isLeaving);
}

BOOST_AUTO_TEST_CASE(invalidRegistrationsAreRejected)
{
    for (const char* text : { "", "null", "[]", "{}", "\xff\xfe", R"({"service":"s1","addr":"10.128.0.9:8080","zone":"a","slots":"many","state":"ready"})",
             R"({"service":"s1","addr":"nowhere","zone":"a","slots":1,"state":"ready"})", R"({"service":"s1","addr":"10.0.0.1:1","zone":"a","slots":1,"state":"resting"})" })
        BOOST_TEST(!decodeRegistration("servers/i-1", text));
    BOOST_TEST(!decodeRegistration("others/i-1", registrationText));
}

RC_BOOST_PROP(damagedDocumentsAreIgnored, ())
{
    std::string text = *rc::gen::arbitrary<bool>() ? configurationText : registrationText;
    auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    text[at] = *rc::gen::arbitrary<char>();
    // Decoding must not throw for any byte.
    auto configuration = decodeConfiguration(text);
    auto registration = decodeRegistration("servers/i-1", text);
    RC_ASSERT(!(configuration && registration));
}

BOOST_AUTO_TEST_SUITE_END()
