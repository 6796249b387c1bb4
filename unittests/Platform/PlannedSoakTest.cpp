#include "Soak.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint::test;

BOOST_AUTO_TEST_SUITE(PlannedSoakTest)

// Guards against answers that are cut under planned work only.
BOOST_AUTO_TEST_CASE(plannedWorkCutsNoAnswer) { soak({ 1, 2 }, Disturbances::PlannedWork); }

// Guards against answers that are cut since their grant was too small.
BOOST_AUTO_TEST_CASE(plannedWorkOnManyGatewaysCutsNoAnswer) { soak({ 1007, 1010 }, Disturbances::PlannedWorkOnManyGateways); }

BOOST_AUTO_TEST_SUITE_END()
