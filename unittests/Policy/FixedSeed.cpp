#include <boost/test/unit_test.hpp>
#include <cstdlib>

namespace {

/// Sets a fixed RapidCheck seed, unless the environment sets RC_PARAMS.
struct FixedSeed {
    FixedSeed() { setenv("RC_PARAMS", "seed=20260517 max_success=2000", 0); }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);
