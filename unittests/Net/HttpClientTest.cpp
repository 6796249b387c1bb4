#include "RawSocket.h"
#include "TestRuntime.h"

#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Net/HttpServer.h"

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace basilpoint;

namespace {

/// Leaves the process no descriptors while it exists.
class NoDescriptors {
public:
    NoDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &m_before);
        int next = ::open("/dev/null", O_RDONLY);
        ::close(next);
        rlimit limit { static_cast<rlim_t>(next), m_before.rlim_max };
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    NoDescriptors(const NoDescriptors&) = delete;
    NoDescriptors& operator=(const NoDescriptors&) = delete;
    ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &m_before); }

private:
    rlimit m_before {};
};

int option(int socket, int name)
{
    int value = 0;
    socklen_t size = sizeof(value);
    getsockopt(socket, IPPROTO_TCP, name, &value, &size);
    return value;
}

/// Descriptor of this process's connection to the port; -1 if there is none.
int connectionTo(std::uint16_t port)
{
    static constexpr int descriptors = 256;
    for (int socket = 0; socket < descriptors; ++socket) {
        sockaddr_in peer {};
        socklen_t size = sizeof(peer);
        if (getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &size) == 0 && peer.sin_family == AF_INET && ntohs(peer.sin_port) == port)
            return socket;
    }
    return -1;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpClientTest)

// Guards against answers that are awaited or passed on, although their status is none of the protocol.
BOOST_AUTO_TEST_CASE(answerWhoseStatusIsNoneOfTheProtocolFailsTheCallAtOnce)
{
    static constexpr Milliseconds limit { 3'000 };
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    testRuntime().run([&] {
        for (const char* status : { "000", "001", "099", "101", "600", "999" })
            for (const char* rest : { "Content-Length: 4\r\n\r\ndone", "Content-Length: 0\r\n\r\n", "\r\ndone", "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n" })
                for (const char* before : { "", "HTTP/1.1 103 Early Hints\r\n\r\n" }) {
                    RawServer server(RawServer::After::KeepOpen);
                    server.answerWith([&](const std::string&) { return before + ("HTTP/1.1 " + std::string(status)) + " Odd\r\n" + rest + whole; });
                    HttpClient client(testRuntime().io());
                    HttpCallOptions options;
                    TimePoint start = std::chrono::steady_clock::now();
                    options.deadline = start + limit;
                    bool hasAnswer = false;
                    options.onHeader = [&](const HttpResponse&) { hasAnswer = true; };
                    BOOST_CHECK_EXCEPTION(client.call(server.endpoint(), { "GET", "/", {}, {} }, options), TargetError, [](const TargetError& error) { return error.failure() == TargetFailure::InvalidResponse && error.executed() == Executed::Unknown; });
                    BOOST_TEST(!hasAnswer, status << " " << rest);
                    BOOST_TEST((std::chrono::steady_clock::now() - start < limit / 2), status << " " << rest);
                    BOOST_TEST(!client.hasIdle(server.endpoint(), {}));
                }
    });
}

BOOST_AUTO_TEST_CASE(lackOfDescriptorsIsNotTakenForAFailureOfTheTarget)
{
    testRuntime().run([] {
        HttpServer server(testRuntime().io(), { "127.0.0.1", 0 }, {}, [](const HttpRequest&, ResponseWriter&) {});
        server.start();
        HttpClient client(testRuntime().io());
        std::optional<TargetFailure> failure;
        {
            NoDescriptors none;
            failure = client.probe(server.endpoint(), Milliseconds(500));
        }
        BOOST_REQUIRE(failure.has_value());
        BOOST_TEST((*failure == TargetFailure::OutOfResources));
        BOOST_TEST(!client.probe(server.endpoint(), Milliseconds(500)).has_value());
    });
}

// A target that is silent for a second acknowledges no probe meanwhile.
BOOST_AUTO_TEST_CASE(streamThatPausesIsNotCutByOneUnansweredProbe)
{
    testRuntime().run([] {
        HttpServer server(testRuntime().io(), { "127.0.0.1", 0 }, {}, [](const HttpRequest&, ResponseWriter& writer) { writer.send({}); });
        server.start();
        HttpClient client(testRuntime().io());
        BOOST_REQUIRE(client.call(server.endpoint(), { "GET", "/", {}, {} }).status == 200);
        int socket = connectionTo(server.endpoint().port);
        BOOST_REQUIRE(socket >= 0);
        int idle = 1'000 * option(socket, TCP_KEEPIDLE);
        int interval = 1'000 * option(socket, TCP_KEEPINTVL);
        int probes = option(socket, TCP_KEEPCNT);
        BOOST_TEST(option(socket, TCP_USER_TIMEOUT) >= idle + probes * interval);
        BOOST_TEST(probes * interval >= 2'000);
        client.closeIdle({});
    });
}

BOOST_AUTO_TEST_SUITE_END()
