#include "TestRuntime.h"

#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Net/HttpServer.h"
#include "basilpoint/Net/MemoryBudget.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t large = 2 * MemoryBudget::maxSmallBytes;
// Three large amounts fit, and one quarter is left to small ones.
constexpr std::size_t limit = 4 * large;

} // namespace

BOOST_AUTO_TEST_SUITE(MemoryBudgetTest)

BOOST_AUTO_TEST_CASE(largeAmountsLeaveRoomForSmallOnes)
{
    MemoryBudget budget(limit);
    MemoryBudget::Share shares[] { MemoryBudget::Share(budget), MemoryBudget::Share(budget), MemoryBudget::Share(budget) };
    for (auto& it : shares)
        BOOST_TEST(it.take(large));
    MemoryBudget::Share further(budget);
    BOOST_TEST(!further.take(large));
    BOOST_TEST(further.take(1'000));
    // A share that grows moves to the part of the large ones.
    BOOST_TEST(!further.take(large));
    BOOST_TEST(budget.used() == 3 * large + 1'000);
}

// Guards against many small requests that are refused while the memory for large ones is free.
BOOST_AUTO_TEST_CASE(smallAmountsMayTakeAllThatLargeOnesDoNot)
{
    MemoryBudget budget(limit);
    std::deque<MemoryBudget::Share> shares;
    for (std::size_t n = 0; n < limit; n += MemoryBudget::maxSmallBytes)
        BOOST_TEST(shares.emplace_back(budget).take(MemoryBudget::maxSmallBytes));
    BOOST_TEST(!shares.emplace_back(budget).take(1));
    BOOST_TEST(budget.used() == limit);
}

BOOST_AUTO_TEST_CASE(releasedSharesLeaveNothingBehind)
{
    MemoryBudget budget(limit);
    for (int n = 0; n < 20; ++n) {
        MemoryBudget::Share share(budget);
        BOOST_TEST(share.take(1'000));
        BOOST_TEST(share.take(large));
        BOOST_TEST(share.take(1'000));
    }
    BOOST_TEST(budget.used() == 0U);
}

// Guards against a request within the limits of callers that is never served, since the process has little memory.
BOOST_AUTO_TEST_CASE(requestLargerThanTheBudgetIsServedAlone)
{
    testRuntime().run([] {
        MemoryBudget budget(limit);
        MemoryBudget::Share first(budget);
        BOOST_TEST(first.awaitRoom(2 * limit, 10ms));
        MemoryBudget::Share second(budget);
        BOOST_TEST(!second.awaitRoom(large, 10ms));
        // What else the same request needs does not wait for the request itself.
        BOOST_TEST(second.awaitRoom(large, 10ms, 2 * limit));
        MemoryBudget::Share small(budget);
        BOOST_TEST(small.awaitRoom(1'000, 10ms));
    });
}

// Guards against a large request that others overtake again and again.
BOOST_AUTO_TEST_CASE(largeRequestsGetRoomInOrder)
{
    testRuntime().run([] {
        MemoryBudget budget(limit);
        std::string order;
        auto request = [&](char name, std::size_t bytes) {
            spawnFiber([&, name, bytes] {
                MemoryBudget::Share share(budget);
                BOOST_TEST(share.awaitRoom(bytes, 2s));
                order += name;
                sleepFiber(50ms);
            });
            sleepFiber(5ms);
        };
        request('a', 2 * large);
        // The second needs all, and the third would have room beside the first.
        request('b', 3 * large);
        request('c', large);
        sleepFiber(300ms);
        BOOST_TEST(order == "abc");
        BOOST_TEST(budget.used() == 0U);
    });
}

// Guards against a process that holds all bodies that callers send at a time, and against small calls that wait for large ones.
BOOST_AUTO_TEST_CASE(serverRefusesBodiesThatItHasNoMemoryForWithoutReadingThem)
{
    testRuntime().run([] {
        MemoryBudget budget(limit);
        unsigned handled = 0;
        HttpServer server(testRuntime().io(), { "127.0.0.1", 0 }, HttpLimits {}, [&](const HttpRequest& request, ResponseWriter& writer) {
            ++handled;
            if (request.body.size() > MemoryBudget::maxSmallBytes)
                sleepFiber(1'500ms);
            writer.send({ 200, {}, std::to_string(request.body.size()) });
        });
        server.setMemory(budget, [](const HttpRequest& head) { return HttpResponse { 503, { { "retry-after", "1" } }, std::string(head.header("x-name")) }; });
        server.start();
        auto post = [&](const char* name, std::size_t bytes) {
            HttpClient client(testRuntime().io());
            return client.call(server.endpoint(), { "POST", "/", { { "x-name", name } }, std::string(bytes, 'x') });
        };
        unsigned served = 0;
        unsigned refused = 0;
        unsigned ended = 0;
        for (int n = 0; n < 3; ++n)
            spawnFiber([&] {
                HttpResponse response = post("large", 1'000'000);
                served += response.status == 200 ? 1 : 0;
                refused += response.status == 503 && response.body == "large" && response.header("retry-after") == "1" ? 1 : 0;
                ++ended;
            });
        sleepFiber(100ms);
        BOOST_TEST(handled == 1U);
        auto start = std::chrono::steady_clock::now();
        BOOST_TEST(post("small", 1'000).status == 200);
        BOOST_TEST((std::chrono::steady_clock::now() - start < 300ms));
        while (ended < 3)
            sleepFiber(20ms);
        BOOST_TEST(served == 1U);
        BOOST_TEST(refused == 2U);
        BOOST_TEST(handled == 2U);
        BOOST_TEST(budget.used() == 0U);
        server.stop();
        sleepFiber(50ms);
    });
}

BOOST_AUTO_TEST_SUITE_END()
