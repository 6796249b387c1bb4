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

// Guards against a configuration that is taken although it is invalid, and whose version hides all later ones.
BOOST_AUTO_TEST_CASE(invalidConfigurationsAreRejected)
{
    const std::pair<const char*, const char*> changes[] = {
        { "\"version\":7", "\"version\":-1" },
        { "\"version\":7", "\"version\":7.5" },
        { "\"version\":7", "\"version\":18446744073709551615" },
        { "\"/x/\"", "\"/x\"" },
        { "\"/x/\"", "\"x/\"" },
        { "\"/x/\"", "\"/y/\"" },
        { "\"a.example\",\"prefix\":\"/x/\"", "\"A.example\",\"prefix\":\"/y/\"" },
        { "\"priority\":1", "\"priority\":-1" },
        { "\"maxAttempts\":2", "\"maxAttempts\":-2" },
        { "\"maxAttempts\":2", "\"maxAttempts\":1e300" },
        { "\"weight\":90", "\"weight\":-90" },
        { "\"service\":\"s1\",\"weight\":90", "\"service\":\"\",\"weight\":90" },
        { "\"name\":\"s2\"", "\"name\":\"s1\"" },
        { "\"slots\":16", "\"slots\":-16" },
        { "\"kvTokens\":1000", "\"kvTokens\":-1" },
        { "\"maxBodyBytes\":1000", "\"maxBodyBytes\":-1" },
        { "\"timeoutMs\":4000", "\"timeoutMs\":-4000" },
    };
    for (const auto& [before, after] : changes) {
        std::string text = configurationText;
        text.replace(text.find(before), std::string_view(before).size(), after);
        BOOST_TEST(!decodeConfiguration(text), after);
    }
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

static std::string registrationWith(const char* field, const std::string& value)
{
    return R"({"service":"s1","addr":"10.128.0.9:8080","zone":"a","slots":4,"state":"ready","coldLeftMs":0,"born":1700,)" + ('"' + std::string(field)) + "\":" + value + "}";
}

// Guards against an entry of another writer that ends the process that reads it, or names a target with meaningless numbers.
BOOST_AUTO_TEST_CASE(registrationsOutOfRangeAreRejected)
{
    BOOST_TEST(decodeRegistration("servers/i-1", registrationWith("x", "1")).has_value());
    for (const char* field : { "slots", "born", "coldLeftMs" })
        for (const char* value : { "-1", "1e300", "-1e300", "99999999999999999999999", "1e999", "true", "\"1\"", "[1]", "{}" })
            BOOST_TEST(!decodeRegistration("servers/i-1", registrationWith(field, value)).has_value(), field << " " << value);
    for (const char* value : { "1.5", "4294967295", "4294967297", "18446744073709551615" })
        BOOST_TEST(!decodeRegistration("servers/i-1", registrationWith("slots", value)).has_value(), value);
    for (const char* value : { "\"10.0.0.1:0\"", "\"10.0.0.1:65536\"", "\"10.0.0.1:-1\"", "\"10.0.0.1:99999999999999999999\"", "\"10.0.0.1:\"", "8080" })
        BOOST_TEST(!decodeRegistration("servers/i-1", registrationWith("addr", value)).has_value(), value);
}

BOOST_AUTO_TEST_CASE(deeplyNestedAndHugeDocumentsAreReadOrRejected)
{
    for (std::size_t depth : { 100U, 100'000U, 1'000'000U }) {
        std::string nested = std::string(depth, '[') + std::string(depth, ']');
        BOOST_TEST(decodeRegistration("servers/i-1", registrationWith("x", nested)).has_value());
        for (const std::string& text : { nested, std::string(depth, '['), registrationWith("state", nested), registrationWith("zone", nested) }) {
            BOOST_TEST(!decodeRegistration("servers/i-1", text).has_value());
            BOOST_TEST(!decodeConfiguration(text).has_value());
        }
    }
    BOOST_TEST(!decodeRegistration("servers/i-1", registrationWith("addr", '"' + std::string(1'000'000, '1') + '"')).has_value());
}

RC_BOOST_PROP(registrationsWithOddFieldsAreRejectedOrInRange, ())
{
    static const char* const fields[] { "service", "addr", "zone", "slots", "state", "coldLeftMs", "born", "seq" };
    static const char* const oddities[] { "null", "-0.0", "1e308", "-9223372036854775808", "\"\"", "\"\\ud800\"", "\"\xff\"", "[[[]]]", "{\"a\":{}}", "3.5" };
    std::string odd = *rc::gen::arbitrary<bool>() ? oddities[*rc::gen::inRange<std::size_t>(0, std::size(oddities))] : std::to_string(*rc::gen::arbitrary<std::int64_t>());
    auto registration = decodeRegistration("servers/i-1", registrationWith(fields[*rc::gen::inRange<std::size_t>(0, std::size(fields))], odd));
    if (!registration)
        return;
    RC_ASSERT(registration->slots >= 1U && registration->slots <= 100'000U);
    RC_ASSERT(registration->endpoint.port > 0U);
    RC_ASSERT(registration->startedAt >= 0);
    RC_ASSERT(registration->coldFor >= Milliseconds(0) && registration->coldFor <= std::chrono::hours(24 * 365));
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
