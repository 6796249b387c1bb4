#include "basilpoint/Net/PeerLink.h"

#include "RawSocket.h"
#include "TestKeys.h"
#include "TestRuntime.h"

#include "basilpoint/Net/Errors.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;
using namespace std::chrono_literals;

namespace {

constexpr auto channel = PeerChannel::Journal;

// Links of one daemon. Its call handler returns the body with a prefix; "delay N" delays that by N ms, "hold" until
// isReleased is set, and "refuse" fails the call.
struct Node {
    explicit Node(const PeerLinkSettings& settings = {})
        : links(
            testRuntime().io(), local(settings), [this](PeerChannel, const std::string& body) { messages.push_back(body); }, [](PeerChannel, const std::string& body) { return answer(body); })
    {
    }

    static PeerLinkSettings local(PeerLinkSettings settings)
    {
        settings.listen.host = settings.listen.host.empty() ? "127.0.0.1" : settings.listen.host;
        return settings;
    }

    static std::string answer(const std::string& body)
    {
        if (body == "refuse")
            throw InvalidInputError("body", body, "another");
        if (body.starts_with("delay "))
            pause(std::chrono::milliseconds(std::stoi(body.substr(6))));
        if (body == "hold")
            waitUntil([] { return isReleased; });
        return "re:" + body;
    }

    std::string call(const Node& to, std::string body, Milliseconds timeout = 10s) { return links.call(to.links.endpoint(), channel, std::move(body), timeout); }

    /// Lets the handlers of "hold" calls return.
    static inline bool isReleased = false;
    std::vector<std::string> messages;
    PeerLinks links;
};

} // namespace

// Runs \p body in a fiber of the event loop.
static void inFiber(const std::function<void()>& body)
{
    testRuntime().run(body);
}

BOOST_AUTO_TEST_SUITE(PeerLinkTest)

BOOST_AUTO_TEST_CASE(concurrentCallsInBothDirectionsGetTheirOwnResponses)
{
    inFiber([] {
        Node a, b;
        unsigned correct = 0;
        constexpr unsigned count = 200;
        for (unsigned n = 0; n < count; ++n) {
            spawnFiber([&, n] {
                // Delays decrease, so that later calls are answered first.
                std::string body = "delay " + std::to_string((count - n) / 4);
                Node& from = n % 2 ? a : b;
                correct += from.call(n % 2 ? b : a, body) == "re:" + body;
            });
        }
        BOOST_TEST(waitUntil([&] { return correct == count; }));
    });
}

BOOST_AUTO_TEST_CASE(oneWayMessagesArriveInOrder)
{
    inFiber([] {
        Node a, b;
        for (int n = 0; n < 100; ++n)
            a.links.send(b.links.endpoint(), channel, std::to_string(n));
        BOOST_TEST(waitUntil([&] { return b.messages.size() == 100; }));
        for (int n = 0; n < 100; ++n)
            BOOST_TEST(b.messages[n] == std::to_string(n));
        BOOST_TEST(a.links.counters().linksOpened == 1U);
    });
}

BOOST_AUTO_TEST_CASE(errorOfTheHandlerReachesTheCaller)
{
    inFiber([] {
        Node a, b;
        BOOST_CHECK_EXCEPTION(a.call(b, "refuse"), PeerUnreachableError, [](const auto& error) { return std::string(error.what()).find("invalid-input") != std::string::npos; });
        BOOST_TEST(a.call(b, "after") == "re:after");
    });
}

BOOST_AUTO_TEST_CASE(oversizedMessageIsRejectedAndTheLinkStaysUsable)
{
    inFiber([] {
        PeerLinkSettings settings;
        settings.maxMessageBytes = 100'000;
        Node a(settings), b(settings);
        BOOST_TEST(a.call(b, std::string(99'000, 'x')).size() == 99'003U);
        BOOST_CHECK_THROW(a.call(b, std::string(100'001, 'x')), TooLargeError);
        BOOST_CHECK_THROW(a.call(b, std::string(99'999, 'x')), PeerUnreachableError);
        a.links.send(b.links.endpoint(), channel, std::string(100'001, 'x'));
        BOOST_TEST(a.links.counters().dropped == 1U);
        // A message above the receiver's limit breaks only the sender's link.
        settings.maxMessageBytes = 1'000'000;
        Node large(settings);
        BOOST_CHECK_THROW(large.call(b, std::string(200'000, 'x')), PeerUnreachableError);
        BOOST_TEST(a.call(b, "after") == "re:after");
    });
}

BOOST_AUTO_TEST_CASE(fullQueueDropsMessages)
{
    inFiber([] {
        PeerLinkSettings settings;
        settings.maxQueuedBytes = 10'000;
        Node a(settings), b;
        for (int n = 0; n < 20; ++n)
            a.links.send(b.links.endpoint(), channel, std::string(1'000, 'x'));
        BOOST_TEST(a.links.counters().dropped == 11U);
        BOOST_CHECK_THROW(a.call(b, std::string(2'000, 'x')), PeerUnreachableError);
        BOOST_TEST(waitUntil([&] { return b.messages.size() == 9; }));
    });
}

BOOST_AUTO_TEST_CASE(brokenLinkAndStopFailPendingCalls)
{
    inFiber([] {
        Node a;
        auto b = std::make_unique<Node>();
        Endpoint address = b->links.endpoint();
        unsigned failed = 0;
        for (int n = 0; n < 10; ++n) {
            spawnFiber([&] {
                try {
                    a.call(*b, "hold", 1h);
                } catch (const PeerUnreachableError& error) {
                    failed += error.executed() == Executed::Unknown;
                }
            });
        }
        BOOST_TEST(waitUntil([&] { return b->links.counters().messagesReceived == 10; }));
        b->links.stop();
        BOOST_TEST(waitUntil([&] { return failed == 10; }));
        BOOST_CHECK_THROW(a.links.call(address, channel, "gone", 1h), PeerUnreachableError);

        Node c;
        bool woken = false;
        spawnFiber([&] {
            try {
                a.call(c, "hold", 1h);
            } catch (const PeerUnreachableError&) {
                woken = true;
            }
        });
        BOOST_TEST(waitUntil([&] { return c.links.counters().messagesReceived == 1; }));
        a.links.stop();
        BOOST_TEST(waitUntil([&] { return woken; }));
        BOOST_CHECK_THROW(a.call(c, "late"), PeerUnreachableError);
        Node::isReleased = true;
    });
}

BOOST_AUTO_TEST_CASE(timeoutFailsTheCallAndTheLateResponseIsIgnored)
{
    inFiber([] {
        Node a, b;
        BOOST_CHECK_THROW(a.call(b, "delay 100", 20ms), PeerUnreachableError);
        BOOST_TEST(a.call(b, "delay 150") == "re:delay 150");
    });
}

BOOST_AUTO_TEST_CASE(unresponsivePeerFailsTheCallBeforeItsTimeout)
{
    inFiber([] {
        PeerLinkSettings settings;
        settings.silenceTimeout = 100ms;
        Node a(settings), b;
        RawServer paused(RawServer::After::KeepOpen);
        paused.answerWith(acceptWebSocket);
        BOOST_CHECK_THROW(a.links.call(paused.endpoint(), channel, "x", 1h), PeerUnreachableError);
        BOOST_TEST(a.links.counters().linksOpened == 1U);
        // A peer that answers pings keeps its link however late its response is.
        BOOST_TEST(a.call(b, "delay 400") == "re:delay 400");
    });
}

BOOST_AUTO_TEST_CASE(linkReopensAfterThePeerRestarts)
{
    inFiber([] {
        Node a;
        PeerLinkSettings settings;
        auto b = std::make_unique<Node>();
        settings.listen = b->links.endpoint();
        BOOST_TEST(a.call(*b, "1") == "re:1");
        b.reset();
        // Without a listener, calls soon fail as not sent.
        BOOST_TEST(waitUntil([&] {
            try {
                a.links.call(settings.listen, channel, "2", 1h);
            } catch (const PeerUnreachableError& error) {
                return error.executed() == Executed::No;
            }
            return false;
        }));
        b = std::make_unique<Node>(settings);
        BOOST_TEST(waitUntil([&] {
            try {
                return a.call(*b, "3") == "re:3";
            } catch (const PeerUnreachableError&) {
                return false;
            }
        }));
    });
}

BOOST_AUTO_TEST_CASE(idleLinkIsClosedAndReopensOnDemand)
{
    inFiber([] {
        PeerLinkSettings settings;
        settings.idleTimeout = 50ms;
        Node a(settings), b;
        BOOST_TEST(a.call(b, "1") == "re:1");
        BOOST_TEST(waitUntil([&] { return a.links.counters().linksBroken == 1; }));
        BOOST_TEST(a.call(b, "2") == "re:2");
        BOOST_TEST(a.links.counters().linksOpened == 2U);
    });
}

BOOST_AUTO_TEST_CASE(malformedInputDoesNotAffectOtherLinks)
{
    inFiber([] {
        Node a, b;
        const std::string upgrade = "GET /peer HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n";
        // A masked binary frame with 5 bytes that are not a CBOR array, then a close frame.
        std::string frame { "\x82\x85\0\0\0\0hello\x88\x80\0\0\0\0", 17 };
        BOOST_TEST(exchangeRaw(b.links.endpoint(), upgrade + "\r\n" + frame).starts_with("HTTP/1.1 101"));
        BOOST_TEST(b.links.counters().rejected == 1U);
        BOOST_TEST(!exchangeRaw(b.links.endpoint(), upgrade + "Origin: http://page\r\n\r\n").starts_with("HTTP/1.1 101"));
        BOOST_TEST(!exchangeRaw(b.links.endpoint(), "GET /other HTTP/1.1\r\nHost: x\r\n\r\n").starts_with("HTTP/1.1 101"));
        exchangeRaw(b.links.endpoint(), std::string(100'000, '\xff'));
        BOOST_TEST(a.call(b, "after") == "re:after");
    });
}

BOOST_AUTO_TEST_CASE(linksUseMutualTls)
{
    inFiber([] {
        TemporaryFolder folder;
        PeerLinkSettings settings;
        settings.keys = makeTestKeys(folder.path(), "cluster");
        Node a(settings), b(settings);
        BOOST_TEST(a.call(b, std::string(500'000, 'x')).size() == 500'003U);

        Node plain;
        BOOST_CHECK_THROW(plain.call(a, "in the clear"), PeerUnreachableError);
        settings.keys = makeTestKeys(folder.path(), "stranger");
        Node stranger(settings);
        BOOST_CHECK_THROW(stranger.call(a, "unknown authority"), PeerUnreachableError);
        BOOST_CHECK_THROW(a.call(stranger, "unknown authority"), PeerUnreachableError);
        BOOST_TEST(a.call(b, "after") == "re:after");
    });
}

BOOST_AUTO_TEST_CASE(newLinksUseReplacedKeys)
{
    inFiber([] {
        TemporaryFolder folder;
        PeerLinkSettings settings;
        settings.keys = makeTestKeys(folder.path(), "cluster");
        Node a(settings);
        makeTestKeys(folder.path(), "cluster");
        Node b(settings);
        // The connection object that the listener has ready for the next accept may still use the previous keys.
        BOOST_TEST(waitUntil([&] {
            try {
                return b.call(a, "1") == "re:1" && a.call(b, "2") == "re:2";
            } catch (const PeerUnreachableError&) {
                return false;
            }
        }));
    });
}

BOOST_AUTO_TEST_CASE(plaintextIsRejectedOutsideLoopback)
{
    inFiber([] {
        PeerLinkSettings settings;
        settings.listen = { "0.0.0.0", 0 };
        BOOST_CHECK_THROW(Node { settings }, InvalidInputError);
        Node a;
        BOOST_CHECK_THROW(a.links.call({ "192.0.2.1", 9 }, channel, "x", 1h), PeerUnreachableError);
        settings.listen = a.links.endpoint();
        BOOST_CHECK_THROW(Node { settings }, ListenError);
        settings.listen = { "127.0.0.1", 0 };
        settings.keys = { "/nonexistent", "/nonexistent", "/nonexistent" };
        BOOST_CHECK_THROW(Node { settings }, InvalidInputError);
    });
}

BOOST_AUTO_TEST_SUITE_END()
