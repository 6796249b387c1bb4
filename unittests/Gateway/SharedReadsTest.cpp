#include "SharedReads.h"

#include "../Net/TestRuntime.h"

#include <boost/test/unit_test.hpp>
#include <stdexcept>
#include <string>

using namespace basilpoint;

BOOST_AUTO_TEST_SUITE(SharedReadsTest)

// Sub-agents of one program start together at a daemon that does not know the program.
BOOST_AUTO_TEST_CASE(concurrentReadsAreCoalesced)
{
    testRuntime().run([] {
        SharedReads<std::string> reads;
        int calls = 0;
        int ended = 0;
        constexpr int agents = 5;
        for (int n = 0; n < agents; ++n) {
            spawnFiber([&] {
                if (!reads.join("p"))
                    reads.run("p", [&] {
                        ++calls;
                        pause(Milliseconds(20));
                    });
                ++ended;
            });
        }
        pause(Milliseconds(200));
        BOOST_TEST(calls == 1);
        BOOST_TEST(ended == agents);
        BOOST_TEST(!reads.join("p"));
    });
}

BOOST_AUTO_TEST_CASE(failedReadWakesWaitingCallers)
{
    testRuntime().run([] {
        SharedReads<std::string> reads;
        bool isReleased = false;
        spawnFiber([&] {
            BOOST_CHECK_THROW(reads.run("p", [] { pause(Milliseconds(20)); throw std::runtime_error("lost"); }), std::runtime_error);
        });
        spawnFiber([&] { isReleased = reads.join("p"); });
        pause(Milliseconds(100));
        BOOST_TEST(isReleased);
    });
}

BOOST_AUTO_TEST_SUITE_END()
