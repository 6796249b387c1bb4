#include "TestRuntime.h"

#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Net/HttpServer.h"

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <sys/resource.h>
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

} // namespace

BOOST_AUTO_TEST_SUITE(HttpClientTest)

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

BOOST_AUTO_TEST_SUITE_END()
