#include "RawSocket.h"
#include "TestRuntime.h"

#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Net/HttpServer.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <system_error>

using namespace basilpoint;

namespace {

const std::vector<std::string> methods { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "PROPFIND", "QUERY", "X-ODD" };

/// Client and server of two processes of the project.
struct Pair {
    explicit Pair(HttpServer::Handler handler)
        : server(testRuntime().io(), { "127.0.0.1", 0 }, HttpLimits {}, std::move(handler))
        , client(testRuntime().io())
    {
        server.start();
    }

    HttpResponse call(const std::string& method, const std::string& body)
    {
        HttpCallOptions options;
        options.deadline = std::chrono::steady_clock::now() + Milliseconds(2'000);
        return client.call(server.endpoint(), { method, "/a", {}, body }, options);
    }

    HttpServer server;
    HttpClient client;
};

} // namespace

BOOST_AUTO_TEST_SUITE(HttpMethodTest)

// Guards against methods that end the process, or that arrive in another way than they were sent.
BOOST_AUTO_TEST_CASE(eachMethodArrivesAsSentOrIsRefused)
{
    testRuntime().run([] {
        std::vector<HttpRequest> runs;
        Pair pair([&](const HttpRequest& request, ResponseWriter& writer) {
            runs.push_back(request);
            writer.send({ 200, {}, "ran" });
        });
        for (const std::string& method : methods)
            for (const char* body : { "", "12345" }) {
                runs.clear();
                HttpResponse response = pair.call(method, body);
                bool isRefused = method == "TRACE" && *body != '\0';
                BOOST_TEST(response.status == (isRefused ? 400 : 200), method);
                BOOST_REQUIRE(runs.size() == (isRefused ? 0U : 1U));
                if (isRefused)
                    continue;
                BOOST_TEST(runs.front().method == method);
                BOOST_TEST(runs.front().body == body);
                BOOST_TEST(response.body == (method == "HEAD" ? "" : "ran"), method);
            }
        pair.server.stop();
    });
}

BOOST_AUTO_TEST_CASE(tunnelIsRefused)
{
    testRuntime().run([] {
        Pair pair([](const HttpRequest&, ResponseWriter& writer) { writer.send({ 200, {}, {} }); });
        BOOST_TEST(exchangeRaw(pair.server.endpoint(), "CONNECT h.example:80 HTTP/1.1\r\nHost: h.example\r\n\r\n", true).starts_with("HTTP/1.1 400 "));
        pair.server.stop();
    });
}

// Guards against an answer to HEAD whose body is taken for the next answer on the connection.
BOOST_AUTO_TEST_CASE(answersToHeadHaveNoBody)
{
    testRuntime().run([] {
        Pair pair([](const HttpRequest& request, ResponseWriter& writer) {
            if (request.path() == "/stream") {
                writer.begin(200, {});
                writer.write("part");
                return writer.end();
            }
            writer.send({ 200, {}, "whole" });
        });
        for (const char* path : { "/stream", "/whole" }) {
            std::string answers = exchangeRaw(pair.server.endpoint(), fmt::format("HEAD {0} HTTP/1.1\r\nHost: x\r\n\r\nGET /whole HTTP/1.1\r\nHost: x\r\n\r\n", path), true);
            auto end = answers.find("\r\n\r\n");
            BOOST_REQUIRE(end != std::string::npos);
            BOOST_TEST(answers.substr(end + 4).starts_with("HTTP/1.1 200"), answers);
            BOOST_TEST(answers.ends_with("whole"), answers);
        }
        pair.server.stop();
    });
}

// Guards against a request whose handler meets a defect and ends the process, and with it all other requests.
BOOST_AUTO_TEST_CASE(handlerThatThrowsAnyExceptionFailsItsRequestOnly)
{
    const std::vector<std::function<void()>> faults {
        [] { throw std::invalid_argument("fault"); },
        [] { throw std::length_error("fault"); },
        [] { throw std::system_error(std::make_error_code(std::errc::io_error), "fault"); },
        [] {
            auto json = nlohmann::json::parse("{");
            BOOST_TEST(json.is_null());
        },
        [] { throw std::bad_alloc(); },
    };
    testRuntime().run([&] {
        std::size_t fault = 0;
        bool hasBegun = false;
        unsigned reported = 0;
        Pair pair([&](const HttpRequest&, ResponseWriter& writer) {
            if (hasBegun)
                writer.begin(200, {});
            faults.at(fault)();
        });
        pair.server.onFault([&](const HttpRequest& request, std::string_view what) {
            BOOST_TEST(request.path() == "/a");
            BOOST_TEST(!what.empty());
            ++reported;
        });
        for (fault = 0; fault < faults.size(); ++fault) {
            hasBegun = false;
            BOOST_TEST(pair.call("POST", "body").status == 500);
            hasBegun = true;
            BOOST_CHECK_THROW(pair.call("POST", "body"), TargetError);
        }
        BOOST_TEST(reported == 2 * faults.size());
        BOOST_TEST(pair.server.activeRequests() == 0U);
        pair.server.stop();
    });
}

BOOST_AUTO_TEST_SUITE_END()
