#include "KeeperSuccession.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

BOOST_AUTO_TEST_SUITE(KeeperSuccessionTest)

BOOST_AUTO_TEST_CASE(keeperIsGoneAfterFailingForTheSilenceLimit)
{
    TimePoint now { std::chrono::hours(1) };
    KeeperSuccession succession;
    succession.failed("a", now);
    succession.failed("b", now);
    succession.failed("a", now + std::chrono::seconds(1));
    succession.answered("b");
    succession.failed("b", now + std::chrono::seconds(1));
    BOOST_TEST(succession.gone(now + KeeperSuccession::silenceLimit - Milliseconds(1)).empty());
    BOOST_TEST(succession.gone(now + KeeperSuccession::silenceLimit) == std::vector<std::string> { "a" });
}

BOOST_AUTO_TEST_SUITE_END()
