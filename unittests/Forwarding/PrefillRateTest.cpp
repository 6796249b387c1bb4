#include "basilpoint/Forwarding/PrefillRate.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

BOOST_AUTO_TEST_SUITE(PrefillRateTest)

// Guards against costs of prefills that rest on the engines of another deployment.
BOOST_AUTO_TEST_CASE(learnsTheRateDespiteWaitingCalls)
{
    PrefillRate rate;
    BOOST_TEST(rate.tokensPerMillisecond() == PrefillRate::initialTokensPerMillisecond, boost::test_tools::tolerance(1e-9));
    for (int n = 0; n < 400; ++n) {
        double tokens = (n * 37) % 4'000;
        // One call in seven waits for half a second.
        rate.record(tokens, 8 + tokens / 60 + (n % 7 == 0 ? 500 : 0));
    }
    BOOST_TEST(rate.tokensPerMillisecond() > 50);
    BOOST_TEST(rate.tokensPerMillisecond() < 72);
}

BOOST_AUTO_TEST_SUITE_END()
