#include <boost/test/unit_test.hpp>
#include <cstdlib>

namespace {

/// Makes property tests deterministic. RC_PARAMS in the environment overrides it, for longer runs.
struct FixedSeed {
    FixedSeed() { setenv("RC_PARAMS", "seed=20261203 max_success=400", 0); }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);
