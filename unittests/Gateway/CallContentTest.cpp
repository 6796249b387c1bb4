#include "RequestDigest.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

namespace {

const ForwardingRoute plainRoute;

ForwardingRoute turnRoute()
{
    ForwardingRoute route;
    route.kind = CallKind::Stream;
    route.turnRetention = Milliseconds(60'000);
    return route;
}

} // namespace

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
    Digest none = contentOf(request, attributes, plainRoute);
    BOOST_TEST((none == extendDigest(digestOf("9:h.example,4:POST,7:/work/x,2:p1,"), "body")));
    BOOST_TEST((contentOf(request, attributes, plainRoute, &acme) != none));
    BOOST_TEST((contentOf(request, attributes, plainRoute, &acme) != contentOf(request, attributes, plainRoute, &bolt)));
    BOOST_TEST((contentOf(request, attributes, plainRoute, &acme) == contentOf(request, attributes, plainRoute, &acme)));
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
    BOOST_TEST((repetitionOf(request, first, plainRoute) == repetitionOf(other, second, plainRoute)));
    BOOST_TEST((repetitionOf(request, first, plainRoute, &acme) != repetitionOf(request, first, plainRoute)));
    other.target = "/work/y";
    BOOST_TEST((repetitionOf(request, first, plainRoute) != repetitionOf(other, first, plainRoute)));
    other.target = request.target;
    other.body = "another body";
    BOOST_TEST((repetitionOf(request, first, plainRoute) != repetitionOf(other, first, plainRoute)));
}

// Guards against requests of many programs that count as one, since all read the same path.
BOOST_AUTO_TEST_CASE(requestsWithoutABodyDifferByProgram)
{
    HttpRequest request { "GET", "/work/x", { { "host", "h.example" } }, {} };
    CallAttributes first;
    first.program = ProgramId("p1");
    CallAttributes second;
    second.program = ProgramId("p2");
    BOOST_TEST((repetitionOf(request, first, plainRoute) != repetitionOf(request, second, plainRoute)));
    BOOST_TEST((repetitionOf(request, first, plainRoute) == repetitionOf(request, first, plainRoute)));
}

// Guards against turns of different programs that count as one request, since their inputs agree.
BOOST_AUTO_TEST_CASE(keptTurnsDifferByTheTurnThatTheyContinue)
{
    HttpRequest request { "POST", "/stream/x", { { "host", "h.example" } }, "go on" };
    HttpRequest retry { "POST", "/stream/x", { { "host", "H.Example:80" }, { "x-trace", "2" } }, "go on" };
    CallAttributes one;
    one.previousTurn = CallId("t1");
    CallAttributes other;
    other.previousTurn = CallId("t2");
    for (auto digest : { contentOf, repetitionOf }) {
        BOOST_TEST((digest(request, one, turnRoute(), nullptr) != digest(request, other, turnRoute(), nullptr)));
        BOOST_TEST((digest(request, one, turnRoute(), nullptr) == digest(retry, one, turnRoute(), nullptr)));
        BOOST_TEST((digest(request, one, turnRoute(), nullptr) != digest(request, {}, turnRoute(), nullptr)));
        // Elsewhere the body is all that the target gets, whatever the caller names.
        BOOST_TEST((digest(request, one, plainRoute, nullptr) == digest(request, other, plainRoute, nullptr)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
