#include "Soak.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint::test;

BOOST_AUTO_TEST_SUITE(CutSoakTest)

BOOST_AUTO_TEST_CASE(cutsBesideOtherDisturbancesBreakNoPromiseToCallers) { soak({ 1, 131 }, Disturbances::FaultsAndCuts); }

BOOST_AUTO_TEST_SUITE_END()
