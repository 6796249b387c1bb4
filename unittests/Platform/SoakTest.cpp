#include "Soak.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint::test;

BOOST_AUTO_TEST_SUITE(SoakTest)

BOOST_AUTO_TEST_CASE(overlappingDisturbancesBreakNoPromiseToCallers) { soak({ 1, 2, 3 }, Disturbances::Faults); }

BOOST_AUTO_TEST_SUITE_END()
