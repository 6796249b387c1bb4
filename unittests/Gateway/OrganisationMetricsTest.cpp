#include "OrganisationMetrics.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

BOOST_AUTO_TEST_SUITE(OrganisationMetricsTest)

// Guards against metrics that grow with the number of organisations.
BOOST_AUTO_TEST_CASE(firstFiftyAreCountedByNameTheOthersTogether)
{
    Metrics metrics;
    OrganisationMetrics counts(metrics);
    for (int round = 0; round < 2; ++round)
        for (int n = 0; n < 9'500; ++n)
            counts.countRequest("o" + std::to_string(n));
    BOOST_TEST(metrics.counters().size() == 51U);
    BOOST_TEST(metrics.counters().at("organisation_requests_total{organisation=\"o0\"}") == 2U);
    BOOST_TEST(metrics.counters().at("organisation_requests_total{organisation=\"o49\"}") == 2U);
    BOOST_TEST(metrics.counters().at("organisation_requests_total{organisation=\"other\"}") == 2U * (9'500 - 50));
    counts.countRefusedByAllowance("o49");
    counts.countRefusedByAllowance("o50");
    BOOST_TEST(metrics.counters().at("organisation_refused_by_allowance_total{organisation=\"o49\"}") == 1U);
    BOOST_TEST(metrics.counters().at("organisation_refused_by_allowance_total{organisation=\"other\"}") == 1U);
}

// Guards against a name that makes the metrics unreadable.
BOOST_AUTO_TEST_CASE(namesAreEscaped)
{
    Metrics metrics;
    OrganisationMetrics(metrics).countRequest("a\"b\\c\nd");
    BOOST_TEST(metrics.counters().count("organisation_requests_total{organisation=\"a\\\"b\\\\c\\nd\"}") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
