#include "RelayedCall.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace basilpoint;

static RelayedCall someCall()
{
    RelayedCall call;
    call.request = { "POST", "/path?q=\xff", { { "host", "h.example" }, { "x-odd", "\xe9" } }, std::string("body\0\xff", 6) };
    call.route = { "turns", {}, {}, CallKind::Stream, Milliseconds(0), Milliseconds(250), 3, {}, 1, Milliseconds(60'000) };
    call.query.service = ServiceId("models");
    call.query.cacheHolder = TargetId("t1");
    call.query.cachedTokens = 77;
    call.query.tried = { TargetId("t2"), TargetId("t3") };
    call.timeLeft = Milliseconds(1'234);
    call.content = digestOf("content");
    return call;
}

BOOST_AUTO_TEST_SUITE(RelayedCallTest)

BOOST_AUTO_TEST_CASE(arrivesAsItWasSent)
{
    RelayedCall sent = someCall();
    RelayedCall call = decodeRelayedCall(encodeRelayedCall(sent));
    BOOST_TEST(call.request.method == sent.request.method);
    BOOST_TEST(call.request.target == sent.request.target);
    BOOST_TEST((call.request.headers == sent.request.headers));
    BOOST_TEST(call.request.body == sent.request.body);
    BOOST_TEST((call.route.kind == CallKind::Stream));
    BOOST_TEST(call.route.keepsTurns());
    BOOST_TEST(call.route.priority == 3U);
    BOOST_TEST((call.route.latencyTarget == Milliseconds(250)));
    BOOST_TEST(call.route.maxAttempts == 1U);
    BOOST_TEST((call.query.service == sent.query.service));
    BOOST_TEST((call.query.cacheHolder == sent.query.cacheHolder));
    BOOST_TEST(call.query.cachedTokens == 77U);
    BOOST_TEST((call.query.tried == sent.query.tried));
    BOOST_TEST((call.timeLeft == sent.timeLeft));
    BOOST_TEST((call.content == sent.content));
}

// Guards against targets that get another organisation's name, or none, from the gateway that makes the call.
BOOST_AUTO_TEST_CASE(organisationArrivesWithItsPriority)
{
    RelayedCall sent = someCall();
    BOOST_TEST(!decodeRelayedCall(encodeRelayedCall(sent)).organisation);
    sent.organisation = Organisation { "acme", {}, {} };
    BOOST_TEST((decodeRelayedCall(encodeRelayedCall(sent)).organisation == sent.organisation));
    sent.organisation->priority = 2;
    BOOST_TEST((decodeRelayedCall(encodeRelayedCall(sent)).organisation == sent.organisation));
}

// Guards against keys that leave the gateway of the caller.
BOOST_AUTO_TEST_CASE(messageHasNoKeys)
{
    RelayedCall sent = someCall();
    sent.organisation = Organisation { "acme", { "very-secret" }, 1 };
    BOOST_TEST(encodeRelayedCall(sent).find("very-secret") == std::string::npos);
}

RC_BOOST_PROP(damagedBytesGiveATypedError, ())
{
    RelayedCall call = someCall();
    if (*rc::gen::arbitrary<bool>())
        call.organisation = Organisation { "acme", {}, 1 };
    std::string bytes = encodeRelayedCall(call);
    std::size_t at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    if (*rc::gen::arbitrary<bool>())
        bytes.resize(at);
    else
        bytes[at] = *rc::gen::arbitrary<char>();
    try {
        decodeRelayedCall(bytes);
    } catch (const InvalidInputError& error) {
        RC_ASSERT(error.httpStatus() == 400);
    }
}

BOOST_AUTO_TEST_SUITE_END()
