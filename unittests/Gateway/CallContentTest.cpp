#include "Forwarder.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

BOOST_AUTO_TEST_SUITE(CallContentTest)

// Guards against an organisation that has its requests refused because another one's crashed targets, and against a digest that
// differs from the one of gateways of the release before.
BOOST_AUTO_TEST_CASE(organisationIsPartOfTheContentOnlyIfThereIsOne)
{
    HttpRequest request { "POST", "/work/x", { { "host", "h.example" } }, "body" };
    CallAttributes attributes;
    attributes.program = ProgramId("p1");
    Organisation acme { "acme", {}, {} };
    Organisation bolt { "bolt", {}, {} };
    Digest none = contentOf(request, attributes);
    BOOST_TEST((none == extendDigest(digestOf("9:h.example,4:POST,7:/work/x,2:p1,"), "body")));
    BOOST_TEST((contentOf(request, attributes, &acme) != none));
    BOOST_TEST((contentOf(request, attributes, &acme) != contentOf(request, attributes, &bolt)));
    BOOST_TEST((contentOf(request, attributes, &acme) == contentOf(request, attributes, &acme)));
}

BOOST_AUTO_TEST_SUITE_END()
