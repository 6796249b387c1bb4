#include "basilpoint/Forwarding/RouteTable.h"

#include "basilpoint/Support/Error.h"

#include <boost/test/unit_test.hpp>
#include <limits>

using namespace basilpoint;

static ForwardingRoute route(const std::string& name, const std::string& host, const std::string& prefix)
{
    ForwardingRoute result;
    result.name = name;
    result.host = host;
    result.prefix = prefix;
    result.services = { { ServiceId("pool"), 1 } };
    return result;
}

static ForwardingConfiguration configuration(std::uint64_t version)
{
    ForwardingConfiguration result;
    result.version = version;
    result.routes = { route("outer", "a.example", "/x/"), route("inner", "a.example", "/x/y/"), route("other", "b.example", "/x/") };
    result.services = { { ServiceId("pool"), "/health", EngineTraits { 16, 1000, 11 } } };
    return result;
}

static std::string matched(const RouteTable& table, std::string_view host, std::string_view path)
{
    const ForwardingRoute* found = table.match(host, path);
    return found ? found->name : "";
}

BOOST_AUTO_TEST_SUITE(RouteTableTest)

BOOST_AUTO_TEST_CASE(hostsAreComparedWithoutPortAndCase)
{
    for (const char* it : { "a.example", "A.Example", "a.example:80", "A.EXAMPLE:8080" })
        BOOST_TEST(canonicalHost(it) == "a.example");
    BOOST_TEST(canonicalHost("[::1]:80") == "[::1]");
    BOOST_TEST(canonicalHost("[::1]") == "[::1]");
    ForwardingConfiguration mixed = configuration(1);
    mixed.routes[0].host = "A.Example";
    BOOST_TEST(matched(RouteTable(mixed), "a.example", "/x/1") == "outer");
}

BOOST_AUTO_TEST_CASE(matchesTheLongestPrefixThatEndsInASlash)
{
    RouteTable table(configuration(1));
    BOOST_TEST(matched(table, "a.example", "/x/y/z") == "inner");
    BOOST_TEST(matched(table, "a.example", "/x/y/") == "inner");
    BOOST_TEST(matched(table, "a.example", "/x/y") == "outer");
    BOOST_TEST(matched(table, "b.example", "/x/y/z") == "other");
}

BOOST_AUTO_TEST_CASE(findsNothingOutsideTheRoutes)
{
    RouteTable table(configuration(1));
    BOOST_TEST(matched(table, "c.example", "/x/y") == "");
    BOOST_TEST(matched(table, "a.example", "/xy/") == "");
    BOOST_TEST(matched(table, "a.example", "/") == "");
    BOOST_TEST(matched(table, "a.example", "") == "");
    BOOST_TEST(matched(table, "a.example", "x/") == "");
}

BOOST_AUTO_TEST_CASE(findsServicesWithTheirEngine)
{
    RouteTable table(configuration(1));
    BOOST_REQUIRE(table.service(ServiceId("pool")));
    BOOST_TEST(table.service(ServiceId("pool"))->engine->tokensPerEvent == 11U);
    BOOST_TEST(!table.service(ServiceId("none")));
}

BOOST_AUTO_TEST_CASE(rejectsOlderVersions)
{
    ConfigurationHolder holder;
    BOOST_TEST(!holder.current());
    BOOST_TEST(holder.offer(configuration(4)));
    auto held = holder.current();
    BOOST_TEST(!holder.offer(configuration(3)));
    BOOST_TEST(!holder.offer(configuration(4)));
    BOOST_TEST(holder.offer(configuration(9)));
    BOOST_TEST(holder.current()->configuration().version == 9U);
    // A running call keeps the table with which it started.
    BOOST_TEST(held->configuration().version == 4U);
}

static void refuses(const std::vector<Organisation>& organisations)
{
    ConfigurationHolder holder;
    holder.offer({ 3, {}, {}, {}, std::vector<Organisation> { { "o1", { "k1" }, {}, 1, 1 } } });
    BOOST_CHECK_THROW(holder.offer({ 4, {}, {}, {}, organisations }), InvalidInputError);
    BOOST_TEST(holder.current()->configuration().version == 3U);
}

BOOST_AUTO_TEST_CASE(versionsWithInvalidOrganisationsAreNotTaken)
{
    refuses({ { "", { "k1" }, {}, 1, 1 } });
    refuses({ { "o1", { "k1" }, {}, 1, 1 }, { "o1", { "k2" }, {}, 1, 1 } });
    refuses({ { "o1", { "k1" }, {}, 1, 1 }, { "o2", { "k1" }, {}, 1, 1 } });
    refuses({ { "o1", { "" }, {}, 1, 1 } });
    refuses({ { "o1", { "k1" }, {}, -1, 1 } });
    refuses({ { "o1", { "k1" }, {}, 1, -0.5 } });
    refuses({ { "o1", { "k1" }, {}, std::numeric_limits<double>::quiet_NaN(), 1 } });
}

BOOST_AUTO_TEST_CASE(errorsOfOrganisationsShowNoKey)
{
    try {
        validateOrganisations({ { "o1", { "secret" }, {}, 1, 1 }, { "o2", { "secret" }, {}, 1, 1 } });
        BOOST_FAIL("two organisations with one key are accepted");
    } catch (const InvalidInputError& error) {
        BOOST_TEST(std::string(error.what()).find("secret") == std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(roomIsManagedOnlyWhereConfigurationAsksForIt)
{
    ForwardingService engines { ServiceId("s"), "", EngineTraits { 8, 1000, 1, Milliseconds(2'000) } };
    ForwardingRoute route;
    route.services = { { ServiceId("s") } };
    BOOST_TEST(!RouteTable({ 1, { route }, { engines }, {}, {} }).managesRoom(ServiceId("s")));
    BOOST_TEST(RouteTable({ 1, { route }, { engines }, {}, std::vector<Organisation>() }).managesRoom(ServiceId("s")));
    route.isResumable = true;
    BOOST_TEST(RouteTable({ 1, { route }, { engines }, {}, {} }).managesRoom(ServiceId("s")));
    engines.engine->maxReservation = Milliseconds(0);
    BOOST_TEST(!RouteTable({ 1, { route }, { engines }, {}, {} }).managesRoom(ServiceId("s")));
}

BOOST_AUTO_TEST_SUITE_END()
