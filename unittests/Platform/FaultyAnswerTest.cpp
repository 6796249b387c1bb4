#include "Deployment.h"

#include "basilpoint/Net/FiberAwait.h"
#include "basilpoint/Net/FiberRuntime.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace basilpoint;
using namespace basilpoint::test;
using Tcp = boost::asio::ip::tcp;

namespace {

enum class After {
    KeepOpen,
    Close,
    Reset,
};

/// What a target writes to one request, and what it does with the connection then.
struct Reply {
    std::string bytes;
    After after = After::KeepOpen;
};

/// Tool service that answers byte for byte.
class RawTarget {
public:
    /// \param connection number of the connection. \param request number of the request on it.
    using Handler = std::function<Reply(const std::string& call, unsigned connection, unsigned request)>;

    explicit RawTarget(Handler handler)
        : m_handler(std::move(handler))
    {
        spawnFiber([this] {
            for (;;) {
                auto socket = std::make_shared<Tcp::socket>(testRuntime().io());
                if (awaitIo([&](auto done) { m_acceptor.async_accept(*socket, std::move(done)); }).ec)
                    return;
                spawnFiber([this, socket, connection = ++connections] { serve(*socket, connection); });
            }
        });
    }

    std::string registration() const
    {
        return nlohmann::json { { "service", "tools" }, { "addr", "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()) }, { "zone", "z" }, { "slots", 4 }, { "state", "ready" }, { "born", 1'700'000'000'000 } }.dump();
    }

    void stop() { m_acceptor.close(); }

    unsigned connections = 0;
    /// Calls that the target has run.
    std::multiset<std::string> runs;

private:
    void serve(Tcp::socket& socket, unsigned connection)
    {
        std::array<char, 16'384> buf;
        for (unsigned request = 1;; ++request) {
            // Requests of these tests arrive whole.
            IoResult read = awaitIo([&](auto done) { socket.async_read_some(boost::asio::buffer(buf), std::move(done)); });
            if (read.ec)
                return;
            Reply reply = m_handler(callIn(std::string(buf.data(), read.size)), connection, request);
            awaitIo([&](auto done) { boost::asio::async_write(socket, boost::asio::buffer(reply.bytes), std::move(done)); });
            switch (reply.after) {
            case After::KeepOpen:
                continue;
            case After::Reset:
                // Lets what was written arrive first.
                pause(std::chrono::milliseconds(50));
                socket.set_option(boost::asio::socket_base::linger(true, 0));
                [[fallthrough]];
            case After::Close:
                socket.close();
                return;
            }
        }
    }

    static std::string callIn(const std::string& request)
    {
        static const std::string name = "x-basilpoint-request-id: ";
        auto begin = request.find(name) + name.size();
        return request.substr(begin, request.find('\r', begin) - begin);
    }

    Tcp::acceptor m_acceptor { testRuntime().io(), Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0) };
    Handler m_handler;
};

std::string headOf(const std::string& call)
{
    return "HTTP/1.1 200 OK\r\nX-Basilpoint-Request-Id: " + call + "\r\nX-Basilpoint-Server-Stamp: stamp\r\n";
}

std::string answerTo(const std::string& call)
{
    return headOf(call) + "Content-Length: 4\r\n\r\ndone";
}

const char* const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Basilpoint-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

/// Runs \p body with two gateways whose only tool service is a raw target.
void withTarget(RawTarget::Handler handler, const std::function<void(Deployment&, RawTarget&)>& body)
{
    inFiber([&] {
        // Never deleted, since fibers use them until the process ends.
        auto& deployment = *new Deployment;
        auto& target = *new RawTarget(std::move(handler));
        deployment.store.remove("servers/i-tool");
        deployment.store.put("servers/i-raw", target.registration());
        deployment.putConfiguration(5, { "/work/" });
        startAll(deployment, { { "keeper", defaultZone } });
        body(deployment, target);
        target.stop();
        deployment.end();
    });
}

struct BrokenAnswer {
    const char* name;
    /// After the headers that identify the answer.
    std::string rest;
    After after;
};

std::ostream& operator<<(std::ostream& stream, const BrokenAnswer& answer)
{
    return stream << answer.name;
}

const std::vector<BrokenAnswer> brokenAnswers {
    { "head that stops between two lines", "", After::Close },
    { "head that stops in a line", "Content-Le", After::Close },
    { "head that stops before its empty line", "Content-Length: 4\r\n", After::Close },
    { "head alone", "Content-Length: 4\r\n\r\n", After::Close },
    { "head without a length alone", "\r\n", After::Close },
    { "short body", "Content-Length: 4\r\n\r\ndo", After::Close },
    { "body without its last chunk", "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n", After::Close },
    { "body without a length that is reset", "\r\ndo", After::Reset },
};

} // namespace

BOOST_AUTO_TEST_SUITE(FaultyAnswerTest)

// Guards against callers who get what a target has sent until it stopped, framed as a whole answer.
BOOST_DATA_TEST_CASE(answerThatStopsEarlyDoesNotReachTheCallerAsWhole, brokenAnswers, broken)
{
    auto handler = [&broken = broken](const std::string& call, unsigned, unsigned) { return Reply { headOf(call) + broken.rest, broken.after }; };
    withTarget(handler, [](Deployment& deployment, RawTarget&) {
        for (const char* path : { "/work/x", "/pay/x" })
            BOOST_TEST(deployment.statusAt(deployment.instances["a"].callers, "POST", path, {}, "input") == 502);
    });
}

BOOST_AUTO_TEST_CASE(wholeAnswerWithoutALengthReachesTheCaller)
{
    auto handler = [](const std::string& call, unsigned, unsigned) { return Reply { headOf(call) + "\r\ndone", After::Close }; };
    withTarget(handler, [](Deployment& deployment, RawTarget&) {
        // More often than an unanswered request may be sent.
        for (unsigned n = 0; n < 9; ++n) {
            BOOST_TEST(deployment.statusAt(deployment.instances["a"].callers, "POST", "/work/x", {}, "input") == 200);
            BOOST_TEST(deployment.answer == "done");
        }
    });
}

// Guards against calls that are refused as not run, or run again elsewhere, since a target has sent the refusal of an earlier call
// twice.
BOOST_AUTO_TEST_CASE(refusalThatComesAgainIsNotTakenForTheNextCallsAnswer)
{
    RawTarget* raw = nullptr;
    auto handler = [&raw](const std::string& call, unsigned connection, unsigned request) {
        if (connection == 1 && request == 1)
            return Reply { refusal };
        raw->runs.insert(call);
        return Reply { (connection == 1 ? refusal : "") + answerTo(call) };
    };
    withTarget(handler, [&](Deployment& deployment, RawTarget& target) {
        raw = &target;
        auto pay = [&](const char* call) { return deployment.statusAt(deployment.instances["a"].callers, "POST", "/pay/x", { { "x-basilpoint-request-id", call } }, "input"); };
        BOOST_TEST(pay("first") == 503);
        BOOST_TEST(target.runs.empty());
        BOOST_TEST(pay("second") == 200);
        BOOST_TEST(target.runs.count("second") == 1U);
    });
}

// Guards against callers who wait in vain for a second answer, or get a status that is none of the protocol.
BOOST_AUTO_TEST_CASE(answerWhoseStatusIsNoneOfTheProtocolFailsTheCallAtOnce)
{
    std::string status;
    RawTarget* raw = nullptr;
    auto handler = [&](const std::string& call, unsigned, unsigned) {
        raw->runs.insert(call);
        return status.empty() ? Reply { answerTo(call) } : Reply { "HTTP/1.1 " + status + answerTo(call).substr(std::string("HTTP/1.1 200").size()) };
    };
    withTarget(handler, [&](Deployment& deployment, RawTarget& target) {
        raw = &target;
        auto call = [&](const char* path, const std::string& id) { return deployment.statusAt(deployment.instances["a"].callers, "POST", path, { { "x-basilpoint-request-id", id } }, "input " + id); };
        for (const char* it : { "000", "101", "600", "999" })
            for (const char* path : { "/work/x", "/pay/x" }) {
                std::string id = it + std::string(path);
                status.clear();
                // Leaves a connection that is used again.
                BOOST_TEST(call(path, "before-" + id) == 200);
                status = it;
                auto start = std::chrono::steady_clock::now();
                BOOST_TEST(call(path, id) == 502);
                BOOST_TEST((std::chrono::steady_clock::now() - start < std::chrono::milliseconds(700)), id);
                if (std::string_view(path).starts_with("/pay"))
                    BOOST_TEST(target.runs.count(id) == 1U);
            }
    });
}

BOOST_AUTO_TEST_SUITE_END()
