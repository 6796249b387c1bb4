#include "Soak.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint::test;

BOOST_AUTO_TEST_SUITE(PlannedSoakTest)

// Guards against answers that are cut under planned work only.
BOOST_AUTO_TEST_CASE(plannedWorkCutsNoAnswer) { soak({ 1, 2 }, Disturbances::PlannedWork); }

BOOST_AUTO_TEST_SUITE_END()
