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

// Guards against repetitions that count as other requests, since their caller names another program or host, or other headers.
BOOST_AUTO_TEST_CASE(repetitionsAgreeInPathBodyAndOrganisationOnly)
{
    HttpRequest request { "POST", "/work/x", { { "host", "h.example" }, { "x-trace", "1" } }, "body" };
    HttpRequest other { "POST", "/work/x", { { "host", "h.example:80" }, { "x-trace", "2" } }, "body" };
    CallAttributes first;
    first.program = ProgramId("p1");
    CallAttributes second;
    Organisation acme { "acme", {}, {} };
    BOOST_TEST((repetitionOf(request, first) == repetitionOf(other, second)));
    BOOST_TEST((repetitionOf(request, first, &acme) != repetitionOf(request, first)));
    other.target = "/work/y";
    BOOST_TEST((repetitionOf(request, first) != repetitionOf(other, first)));
    other.target = request.target;
    other.body = "another body";
    BOOST_TEST((repetitionOf(request, first) != repetitionOf(other, first)));
}

// Guards against requests of many programs that count as one, since all read the same path.
BOOST_AUTO_TEST_CASE(requestsWithoutABodyDifferByProgram)
{
    HttpRequest request { "GET", "/work/x", { { "host", "h.example" } }, {} };
    CallAttributes first;
    first.program = ProgramId("p1");
    CallAttributes second;
    second.program = ProgramId("p2");
    BOOST_TEST((repetitionOf(request, first) != repetitionOf(request, second)));
    BOOST_TEST((repetitionOf(request, first) == repetitionOf(request, first)));
}

BOOST_AUTO_TEST_SUITE_END()
