#include "basilpoint/Forwarding/OrganisationTable.h"

#include "basilpoint/Forwarding/RouteTable.h"
#include "basilpoint/Support/Error.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <limits>
#include <map>
#include <rapidcheck/boost_test.h>

using namespace basilpoint;

namespace {

// Few characters, so that keys often are prefixes of each other or equal.
std::string someKey()
{
    return *rc::gen::container<std::string>(rc::gen::elementOf(std::string("aB0,")));
}

/// Valid organisations with random keys, and who has which key.
struct Customers {
    Customers()
    {
        unsigned count = *rc::gen::inRange(0U, 8U);
        for (unsigned n = 0; n < count; ++n) {
            Organisation organisation { "o" + std::to_string(n), {}, {}, 0, 0 };
            for (unsigned keys = *rc::gen::inRange(0U, 4U); keys > 0; --keys) {
                std::string key = someKey();
                if (key.empty() || !owners.emplace(key, n).second)
                    continue;
                organisation.keys.push_back(key);
            }
            organisations.push_back(std::move(organisation));
        }
    }

    std::vector<Organisation> organisations;
    std::map<std::string, std::size_t, std::less<>> owners;
};

} // namespace

BOOST_AUTO_TEST_SUITE(OrganisationTableTest)

// Guards against callers that are taken for another organisation, or for one without its key.
RC_BOOST_PROP(findsTheOrganisationThatHasExactlyTheKey, ())
{
    Customers customers;
    OrganisationTable table(customers.organisations, *rc::gen::arbitrary<std::uint64_t>());
    RC_ASSERT(table.keyCount() == customers.owners.size());
    for (const auto& [key, owner] : customers.owners) {
        RC_ASSERT(table.find(key) == std::optional(owner));
        for (const std::string& other : { key + "a", key.substr(1), ", " + key, fmt::format("{0}, {0}", key), std::string() }) {
            auto it = customers.owners.find(other);
            RC_ASSERT(table.find(other) == (it == customers.owners.end() ? std::nullopt : std::optional(it->second)));
        }
    }
    std::string unknown = someKey();
    RC_ASSERT(table.find(unknown).has_value() == customers.owners.contains(unknown));
}

// Guards against a version with an invalid organisation that comes into force, whatever else it has.
RC_BOOST_PROP(oneInvalidOrganisationRejectsTheVersion, ())
{
    Customers customers;
    std::vector<Organisation> organisations = customers.organisations;
    Organisation invalid { "new", { "new-key" }, {}, 1, 1 };
    std::vector<double> badNumbers { -1, -0.001, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity() };
    switch (*rc::gen::inRange(0, organisations.empty() ? 4 : 6)) {
    case 0:
        invalid.name.clear();
        break;
    case 1:
        invalid.keys.emplace_back();
        break;
    case 2:
        invalid.requestsPerSecond = *rc::gen::elementOf(badNumbers);
        break;
    case 3:
        invalid.burst = *rc::gen::elementOf(badNumbers);
        break;
    case 4:
        invalid.name = organisations[*rc::gen::inRange<std::size_t>(0, organisations.size())].name;
        break;
    case 5:
        organisations.front().keys.emplace_back("new-key");
        break;
    }
    organisations.insert(organisations.begin() + *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(organisations.size()) + 1), invalid);
    ConfigurationHolder holder;
    RC_ASSERT(holder.offer({ 3, {}, {}, {}, customers.organisations }));
    RC_ASSERT_THROWS_AS(holder.offer({ 4, {}, {}, {}, organisations }), InvalidInputError);
    RC_ASSERT(holder.current()->configuration().version == 3U);
    for (const auto& [key, owner] : customers.owners)
        RC_ASSERT(holder.current()->organisationWith(key)->name == customers.organisations[owner].name);
}

// Guards against callers without a key that are taken for an organisation with none.
BOOST_AUTO_TEST_CASE(emptyKeyFindsNothing)
{
    BOOST_TEST(!OrganisationTable().find("").has_value());
    BOOST_TEST(!OrganisationTable({ { "o1", { "k1" }, {}, 0, 0 }, { "o2", {}, {}, 0, 0 } }, 7).find("").has_value());
}

BOOST_AUTO_TEST_CASE(tableWithoutOrganisationsIdentifiesNobody)
{
    RouteTable none({ 1, {}, {}, {}, {} });
    BOOST_TEST(!none.identifiesCallers());
    BOOST_TEST(!none.organisationWith("k1"));
    RouteTable empty({ 1, {}, {}, {}, std::vector<Organisation>() });
    BOOST_TEST(empty.identifiesCallers());
    BOOST_TEST(!empty.organisationWith("k1"));
}

BOOST_AUTO_TEST_CASE(allOfTheDesignSizeAreFound)
{
    constexpr std::size_t designSize = 9'500;
    std::vector<Organisation> organisations;
    for (std::size_t n = 0; n < designSize; ++n)
        organisations.push_back({ "o" + std::to_string(n), { "key-a-" + std::to_string(n), "key-b-" + std::to_string(n) }, {}, 1, 1 });
    OrganisationTable table(organisations, 1);
    for (std::size_t n = 0; n < designSize; ++n) {
        BOOST_REQUIRE(table.find("key-a-" + std::to_string(n)) == std::optional(n));
        BOOST_REQUIRE(table.find("key-b-" + std::to_string(n)) == std::optional(n));
    }
    BOOST_TEST(!table.find("key-a-9500").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
