#include <boost/test/unit_test.hpp>
#include <cstdlib>

namespace {

/// Sets a fixed seed so that property tests are repeatable. RC_PARAMS takes precedence if it is set in the
/// environment, for example for longer runs.
struct FixedSeed {
    FixedSeed() { setenv("RC_PARAMS", "seed=20261203 max_success=2000", 0); }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);
