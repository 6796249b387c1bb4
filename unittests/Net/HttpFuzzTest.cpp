#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/HttpKeyValueStore.h"
#include "basilpoint/Net/HttpServer.h"
#include "basilpoint/Net/JsonBody.h"

#include "RawSocket.h"
#include "TestRuntime.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace basilpoint;

static const std::vector<std::string> fragments { "\r\n", "\n", ":", " ", "HTTP/1.1", "HTTP/9.9", "-1", "99999999999999999999", "chunked", "\xff", "ffffffffffffffff\r\n", "0\r\n\r\n", "{", "[", "\"", "null" };

static std::string mutate(std::string text)
{
    for (int n = *rc::gen::inRange(1, 5); n > 0; --n) {
        auto at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
        text.replace(at, *rc::gen::inRange<std::size_t>(0, 6), *rc::gen::elementOf(fragments));
    }
    return text;
}

// Runs \p property in a fiber of the event loop.
template <typename Property>
static bool checkInFiber(Property property)
{
    bool passed = false;
    testRuntime().run([&] { passed = rc::check(property); });
    return passed;
}

BOOST_AUTO_TEST_SUITE(HttpFuzzTest)

BOOST_AUTO_TEST_CASE(corruptedRequestIsAnsweredOrClosedAndTheServerKeepsServing)
{
    std::unique_ptr<HttpServer> server;
    testRuntime().run([&] {
        HttpLimits limits;
        limits.maxBodyBytes = 1'000;
        limits.maxHeaderBytes = 500;
        limits.idleTimeout = Milliseconds(2'000);
        server = std::make_unique<HttpServer>(testRuntime().io(), Endpoint { "127.0.0.1", 0 }, limits, [](const HttpRequest& request, ResponseWriter& writer) {
            writer.send({ 200, {}, parseJsonObject(request.body).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) });
        });
        server->start();
    });
    static const std::string sized = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 7\r\n\r\n{\"a\":1}";
    static const std::string chunked = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n{\"a\":1}\r\n0\r\n\r\n";
    BOOST_TEST(checkInFiber([&] {
        exchangeRaw(server->endpoint(), mutate(*rc::gen::arbitrary<bool>() ? sized : chunked), true);
        RC_ASSERT(exchangeRaw(server->endpoint(), sized, true).find("200 OK") != std::string::npos);
        RC_ASSERT(server->activeRequests() == 0U);
    }));
    testRuntime().run([&] {
        auto answerTo = [&](const std::string& request) { return exchangeRaw(server->endpoint(), request, true); };
        BOOST_TEST(answerTo("GET / HTTP/1.1\r\nA: " + std::string(1'000, 'a') + "\r\n\r\n").find("too-large") != std::string::npos);
        BOOST_TEST(answerTo("POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n").find("too-large") != std::string::npos);
        BOOST_TEST(answerTo("POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + std::string(900, '[')).find("invalid-input") != std::string::npos);
        server.reset();
    });
}

BOOST_AUTO_TEST_CASE(corruptedKeyValueResponseThrowsKeyValueUnavailableError)
{
    static const std::string body = R"({"header":{"revision":"5"},"succeeded":true,"ID":"7","result":{"TTL":"3"},"kvs":[{"key":"YQ==","value":"YQ==","mod_revision":"4"}]})";
    RawServer raw(RawServer::After::Close);
    HttpClient client(testRuntime().io());
    HttpKeyValueStore store(client, raw.endpoint());
    static const std::vector<std::function<void(HttpKeyValueStore&)>> calls {
        [](auto& it) { it.get("a"); },
        [](auto& it) { it.list("a"); },
        [](auto& it) { it.compareAndSwap("a", 0, "b", 0); },
        [](auto& it) { it.grantLease(std::chrono::seconds(1)); },
        [](auto& it) { it.keepAlive(1); },
        [](auto& it) { it.watch("a", 1, [](const auto&, const auto&) {}); },
    };
    BOOST_TEST(checkInFiber([&] {
        std::string json = *rc::gen::arbitrary<bool>() ? mutate(body) : body;
        std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(json.size() + 1) + "\r\nConnection: close\r\n\r\n" + json + "\n";
        std::string answer = *rc::gen::arbitrary<bool>() ? mutate(whole) : whole;
        raw.answerWith([answer](const std::string&) { return answer; });
        try {
            (*rc::gen::elementOf(calls))(store);
        } catch (const KeyValueUnavailableError&) {
            RC_LOG() << "refused";
        }
    }));
}

// A planned stop used to end while a request was still being read, and its response was cut off. So a partly read request
// must count as active.
BOOST_AUTO_TEST_CASE(partlyReadRequestCountsAsActiveAndIsAnsweredAfterStop)
{
    testRuntime().run([] {
        HttpServer server(testRuntime().io(), Endpoint { "127.0.0.1", 0 }, HttpLimits {}, [](const HttpRequest& request, ResponseWriter& writer) { writer.send({ 200, {}, request.body }); });
        server.start();
        boost::asio::ip::tcp::socket socket(testRuntime().io());
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), server.endpoint().port });
        auto send = [&](const std::string& bytes) { boost::asio::write(socket, boost::asio::buffer(bytes)); };
        send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\nabc");
        BOOST_TEST(waitUntil([&] { return server.activeRequests() == 1; }));
        server.stop();
        pause(std::chrono::milliseconds(20));
        BOOST_TEST(server.activeRequests() == 1U);
        send("def");
        BOOST_TEST(waitUntil([&] { return server.activeRequests() == 0; }));
        std::string answer(1'000, ' ');
        answer.resize(socket.read_some(boost::asio::buffer(answer)));
        BOOST_TEST(answer.find("abcdef") != std::string::npos);
    });
}

BOOST_AUTO_TEST_SUITE_END()
