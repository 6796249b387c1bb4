#include "OrganisationScope.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck/boost_test.h>

using namespace basilpoint;

// Few characters, among them all that prefixes consist of.
static std::string someText()
{
    return *rc::gen::container<std::string>(rc::gen::elementOf(std::string("012-a")));
}

BOOST_AUTO_TEST_SUITE(OrganisationScopeTest)

// Guards against an id by which one caller reaches programs or turns of another organisation, or of callers without one.
RC_BOOST_PROP(differentOwnersOrIdsNeverGetTheSameId, ())
{
    std::map<std::string, std::pair<std::string, std::string>> owners;
    for (int n = 0; n < 60; ++n) {
        std::string name = someText();
        std::string id = someText();
        Organisation organisation { name, {}, {} };
        std::string scoped = OrganisationScope(name.empty() ? nullptr : &organisation, true).scoped(id);
        auto [it, isNew] = owners.try_emplace(scoped, name, id);
        RC_ASSERT(isNew || it->second == std::pair(name, id));
        // What a caller without an organisation learns of ids must not help it.
        std::string stated = OrganisationScope(nullptr, true).scoped(scoped);
        if (!name.empty())
            RC_ASSERT(stated != scoped);
    }
}

RC_BOOST_PROP(idsStayAsTheyAreWithoutOrganisations, ())
{
    std::string id = someText();
    RC_ASSERT(OrganisationScope(nullptr, false).scoped(id) == id);
}

BOOST_AUTO_TEST_CASE(usualIdsOfCallersWithoutOrganisationStayAsTheyAre)
{
    OrganisationScope scope(nullptr, true);
    for (const char* it : { "p1", "12345678-1234-1234-1234-123456789012", "7", "7-", "7-short", "-" })
        BOOST_TEST(scope.scoped(std::string(it)) == it);
    BOOST_TEST(scope.scoped(std::string("4-acme-p1")) == "0-4-acme-p1");
}

// Guards against a first turn that is taken for one with a previous turn.
BOOST_AUTO_TEST_CASE(emptyIdsStayEmpty)
{
    Organisation organisation { "acme", {}, {} };
    BOOST_TEST(OrganisationScope(&organisation, true).scoped(ProgramId()).empty());
    BOOST_TEST(OrganisationScope(&organisation, true).scoped(ProgramId("p1")).text() == "4-acme-p1");
}

BOOST_AUTO_TEST_SUITE_END()
