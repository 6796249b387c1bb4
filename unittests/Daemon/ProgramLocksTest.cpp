#include "ProgramLocks.h"

#include "basilpoint/Net/FiberRuntime.h"
#include "basilpoint/Program/Errors.h"

#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

using namespace basilpoint;

static void inFiber(const std::function<void()>& body)
{
    static FiberRuntime runtime;
    runtime.run(body);
}

BOOST_AUTO_TEST_SUITE(ProgramLocksTest)

BOOST_AUTO_TEST_CASE(exclusiveCallsRunAloneAndInOrderOfArrival)
{
    inFiber([] {
        ProgramLocks locks;
        std::mt19937_64 random(3);
        const ProgramId program("0-1-a");
        int exclusive = 0;
        int shared = 0;
        unsigned ended = 0;
        unsigned lastExclusive = 0;
        for (unsigned n = 1; n <= 60; ++n) {
            LockMode mode = random() % 2 == 0 ? LockMode::Exclusive : LockMode::Shared;
            spawnFiber([&, n, mode] {
                auto guard = locks.lock(program, mode);
                int& mine = mode == LockMode::Exclusive ? exclusive : shared;
                ++mine;
                BOOST_TEST((exclusive <= 1 && (exclusive == 0 || shared == 0)));
                if (mode == LockMode::Exclusive) {
                    BOOST_TEST(n > lastExclusive);
                    lastExclusive = n;
                }
                for (unsigned k = 0; k < n % 5; ++k)
                    boost::this_fiber::yield();
                --mine;
                ++ended;
            });
        }
        while (ended < 60)
            boost::this_fiber::yield();
        BOOST_TEST(locks.size() == 0U);
    });
}

BOOST_AUTO_TEST_CASE(rejectsCallsBeyondTheWaitingLimit)
{
    inFiber([] {
        ProgramLocks locks;
        const ProgramId program("0-1-a");
        auto guard = locks.lock(program, LockMode::Exclusive);
        unsigned refused = 0;
        unsigned ended = 0;
        for (unsigned n = 0; n < 70; ++n) {
            spawnFiber([&] {
                try {
                    locks.lock(program, LockMode::Exclusive);
                } catch (const ProgramBusyError&) {
                    ++refused;
                }
                ++ended;
            });
        }
        while (refused < 6)
            boost::this_fiber::yield();
        guard.reset();
        while (ended < 70)
            boost::this_fiber::yield();
        BOOST_TEST(refused == 6U);
    });
}

BOOST_AUTO_TEST_SUITE_END()
