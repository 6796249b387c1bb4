#define BOOST_TEST_MODULE basilpoint
#include <boost/test/unit_test.hpp>
