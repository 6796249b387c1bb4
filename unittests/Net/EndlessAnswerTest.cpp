#include "TestRuntime.h"

#include "basilpoint/Net/Errors.h"
#include "basilpoint/Net/HttpClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace basilpoint;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr Milliseconds callTime { 4'000 };
constexpr std::size_t maxBodyBytes = 256 * 1024;
// What a client may have read, and the sockets' buffers hold, when it closes the connection.
constexpr std::size_t maxSentBytes = 16 * 1024 * 1024;

/// Target that answers each request with \p begin and then repeats \p part until the client closes the connection.
class EndlessServer {
public:
    EndlessServer(std::string begin, std::string part, Milliseconds pauseBetweenParts = Milliseconds(0))
        : m_begin(std::move(begin))
        , m_part(std::move(part))
        , m_pause(pauseBetweenParts)
    {
        // Large writes, so that an unlimited client would read gigabytes within the time of a call.
        while (m_pause == Milliseconds(0) && m_part.size() < 64 * 1024)
            m_part += m_part;
        spawnFiber([this] {
            Tcp::socket socket(testRuntime().io());
            awaitIo([&](auto handler) { m_acceptor.async_accept(socket, std::move(handler)); });
            std::string request(4'096, '\0');
            awaitIo([&](auto handler) { socket.async_read_some(boost::asio::buffer(request), std::move(handler)); });
            for (const std::string* next = &m_begin;; next = &m_part) {
                IoResult result = awaitIo([&](auto handler) { boost::asio::async_write(socket, boost::asio::buffer(*next), std::move(handler)); });
                sent += result.size;
                if (result.ec)
                    break;
                if (m_pause > Milliseconds(0))
                    pause(m_pause);
            }
            isClosed = true;
        });
    }

    Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

    std::size_t sent = 0;
    bool isClosed = false;

private:
    Tcp::acceptor m_acceptor { testRuntime().io(), Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0) };
    std::string m_begin;
    std::string m_part;
    Milliseconds m_pause;
};

struct Answer {
    const char* name;
    std::string begin;
    std::string part;
};

std::ostream& operator<<(std::ostream& stream, const Answer& answer)
{
    return stream << answer.name;
}

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nX-Call: own\r\nTransfer-Encoding: chunked\r\n\r\n";

const std::vector<Answer> endlessAnswers {
    { "status line", "HTTP/1.1 200 ", "a" },
    { "header line", "HTTP/1.1 200 OK\r\nA: ", "a" },
    { "header block", "HTTP/1.1 200 OK\r\n", "A: a\r\n" },
    { "chunk size", chunkedHead, "0" },
    { "chunk extension", chunkedHead + "4;", "a" },
    { "trailer line", chunkedHead + "0\r\nA: ", "a" },
    { "trailers", chunkedHead + "0\r\n", "A: a\r\n" },
    { "chunks", chunkedHead, "4\r\naaaa\r\n" },
    { "body without length", "HTTP/1.1 200 OK\r\nX-Call: own\r\n\r\n", "a" },
    { "failure's body", "HTTP/1.1 500 Failed\r\nX-Call: own\r\n\r\n", "a" },
    { "interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n" },
    { "answers of other calls", "", "HTTP/1.1 200 OK\r\nX-Call: other\r\nContent-Length: 2\r\n\r\nok" },
    { "answer of another call", "HTTP/1.1 200 OK\r\nX-Call: other\r\n\r\n", "a" },
};

HttpCallOptions optionsOf(Milliseconds limit)
{
    HttpCallOptions options;
    options.maxBodyBytes = maxBodyBytes;
    options.deadline = std::chrono::steady_clock::now() + limit;
    options.matchesRequest = [](const HttpResponse& response) {
        auto call = response.headers.find("x-call");
        return call == response.headers.end() || call->second == "own";
    };
    return options;
}

/// \returns how long it took until the call failed.
Milliseconds failingCall(const EndlessServer& server, Milliseconds limit)
{
    HttpClient client(testRuntime().io());
    TimePoint start = std::chrono::steady_clock::now();
    BOOST_CHECK_THROW(client.call(server.endpoint(), { "GET", "/", {}, {} }, optionsOf(limit)), TargetError);
    return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - start);
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndlessAnswerTest)

// Targets in trouble send without end. A call that read until its deadline would take all of a small instance's memory.
BOOST_DATA_TEST_CASE(endlessAnswerFailsTheCallOnceItExceedsItsLimit, endlessAnswers, answer)
{
    testRuntime().run([&] {
        EndlessServer server(answer.begin, answer.part);
        Milliseconds took = failingCall(server, callTime);
        BOOST_TEST(took.count() < callTime.count() / 2);
        BOOST_TEST(waitUntil([&] { return server.isClosed; }));
        BOOST_TEST(server.sent < maxSentBytes);
    });
}

BOOST_DATA_TEST_CASE(answerThatTricklesWithoutEndFailsTheCallAtItsDeadline, endlessAnswers, answer)
{
    testRuntime().run([&] {
        constexpr Milliseconds limit { 300 };
        EndlessServer server(answer.begin, answer.part, Milliseconds(5));
        Milliseconds took = failingCall(server, limit);
        BOOST_TEST(took.count() < 2 * limit.count());
        BOOST_TEST(waitUntil([&] { return server.isClosed; }));
    });
}

// An interim answer is none: the call's own one follows on the connection.
BOOST_AUTO_TEST_CASE(interimAnswersAreSkipped)
{
    testRuntime().run([] {
        EndlessServer server("HTTP/1.1 103 Early Hints\r\nX-Call: own\r\n\r\nHTTP/1.1 200 OK\r\nX-Call: own\r\nContent-Length: 4\r\n\r\nbody", " ", Milliseconds(5));
        HttpClient client(testRuntime().io());
        HttpResponse response = client.call(server.endpoint(), { "GET", "/", {}, {} }, optionsOf(callTime));
        BOOST_TEST(response.status == 200);
        BOOST_TEST(response.body == "body");
        client.closeIdle({});
        BOOST_TEST(waitUntil([&] { return server.isClosed; }));
    });
}

BOOST_AUTO_TEST_SUITE_END()
