#include "RawSocket.h"
#include "TestRuntime.h"

#include "basilpoint/Net/HttpServer.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace basilpoint;

namespace {

const std::string innerRequest = "POST /inner HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";

/// Server that records what it runs.
struct RecordingServer {
    RecordingServer()
        : server(testRuntime().io(), { "127.0.0.1", 0 }, HttpLimits {}, [this](const HttpRequest& request, ResponseWriter& writer) {
            runs.push_back(request);
            writer.send({ 200, {}, "ran" });
        })
    {
        server.start();
    }

    std::vector<HttpRequest> runs;
    HttpServer server;
};

std::string requestWith(const std::string& framing, const std::string& body, const char* version = "1.1")
{
    return fmt::format("POST /outer HTTP/{}\r\nHost: x\r\n{}\r\n{}", version, framing, body);
}

/// Sends the request to a new server. \returns the answers, and what has run.
std::pair<std::string, std::vector<HttpRequest>> exchange(const std::string& request)
{
    std::string answers;
    std::vector<HttpRequest> runs;
    testRuntime().run([&] {
        RecordingServer server;
        answers = exchangeRaw(server.server.endpoint(), request, true);
        runs = server.runs;
        server.server.stop();
    });
    return { answers, runs };
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpFramingTest)

// Guards against bodies that are run as requests of their own, since the parser and the sender frame them in different ways.
BOOST_AUTO_TEST_CASE(requestWithoutACertainEndIsRefusedAndNothingBehindItRuns)
{
    const std::string length = fmt::format("Content-Length: {}\r\n", innerRequest.size());
    const std::string chunks = fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", innerRequest.size(), innerRequest);
    std::vector<std::string> framings;
    for (const char* coding : { "chunked, identity", "gzip", "identity", "xchunked", "chunkedx", "chunked,", ", chunked", "chunked, chunked", "gzip, chunked", "chunked;a=b", "\"chunked\"", "chunked gzip", "" }) {
        framings.push_back(fmt::format("Transfer-Encoding: {}\r\n", coding));
        framings.push_back(fmt::format("transfer-ENCODING:\t{}\r\n", coding) + length);
        framings.push_back(length + fmt::format("Transfer-Encoding: {}\r\n", coding));
        framings.push_back(fmt::format("Transfer-Encoding: chunked\r\nTransfer-Encoding: {}\r\n", coding));
        framings.push_back(fmt::format("Transfer-Encoding: {}\r\nTransfer-Encoding: chunked\r\n", coding));
    }
    framings.push_back("Transfer-Encoding: chunked\r\n" + length);
    framings.push_back(length + "Transfer-Encoding: chunked\r\n");
    framings.push_back(length + "Content-Length: 3\r\n");
    framings.push_back("Content-Length: 3, 4\r\n");
    framings.push_back("Content-Length: +3\r\n");
    for (const std::string& framing : framings)
        for (const std::string& body : { innerRequest, chunks }) {
            auto [answers, runs] = exchange(requestWith(framing, body));
            BOOST_TEST(answers.starts_with("HTTP/1.1 400 "), framing << answers);
            BOOST_TEST(answers.find("HTTP/1.1 ", 1) == std::string::npos, framing << answers);
            BOOST_TEST(runs.empty(), framing);
        }
}

BOOST_AUTO_TEST_CASE(transferCodingOfAnOldVersionIsRefused)
{
    auto [answers, runs] = exchange(requestWith("Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n" + innerRequest, "1.0"));
    BOOST_TEST(answers.find(" 400 ") != std::string::npos);
    BOOST_TEST(runs.empty());
}

BOOST_AUTO_TEST_CASE(chunksAndLengthsAreReadAsSent)
{
    for (const char* coding : { "chunked", "Chunked", "CHUNKED", " chunked \t" })
        for (const std::string& framing : { fmt::format("Transfer-Encoding: {}\r\n", coding), std::string("Content-Length: 5\r\n") }) {
            bool isChunked = framing.front() == 'T';
            auto [answers, runs] = exchange(requestWith(framing, (isChunked ? "2\r\nab\r\n3;x=y\r\ncde\r\n0\r\n\r\n" : "abcde") + innerRequest));
            BOOST_REQUIRE(runs.size() == 2U);
            BOOST_TEST(runs.front().body == "abcde");
            BOOST_TEST(runs.back().target == "/inner");
        }
}

BOOST_AUTO_TEST_SUITE_END()
