#include <boost/test/unit_test.hpp>
#include <cstdlib>

namespace {

/// Makes RapidCheck repeatable; RC_PARAMS in the environment still overrides it.
struct FixedSeed {
    FixedSeed() { setenv("RC_PARAMS", "seed=20260517 max_success=2000", 0); }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);
