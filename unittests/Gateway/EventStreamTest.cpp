#include "basilpoint/Gateway/EventStream.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

using namespace basilpoint;

BOOST_AUTO_TEST_SUITE(EventStreamTest)

BOOST_AUTO_TEST_CASE(returnsOnlyCompleteEvents)
{
    EventStreamSplitter splitter;
    BOOST_TEST(splitter.append("id: 1\ndata: a").empty());
    BOOST_TEST(splitter.hasPartialEvent());
    auto events = splitter.append("b\n\nid: 2\ndata: c\n\nid");
    BOOST_REQUIRE(events.size() == 2U);
    BOOST_TEST(events[0].data == "ab");
    BOOST_TEST(events[0].bytes == "id: 1\ndata: ab\n\n");
    BOOST_TEST(events[1].data == "c");
    BOOST_TEST(splitter.hasPartialEvent());
}

BOOST_AUTO_TEST_CASE(joinsDataLinesAndAcceptsBothLineEndings)
{
    EventStreamSplitter splitter;
    auto events = splitter.append("data: a\r\ndata:b\r\n\r\n: note\n\n");
    BOOST_REQUIRE(events.size() == 2U);
    BOOST_TEST(events[0].data == "a\nb");
    BOOST_TEST(events[1].data == "");
    BOOST_TEST(!splitter.hasPartialEvent());
}

// The caller gets the same bytes, however they are split into chunks on the way.
RC_BOOST_PROP(eventsDoNotDependOnChunkBoundaries, ())
{
    auto texts = *rc::gen::container<std::vector<std::string>>(rc::gen::container<std::string>(rc::gen::elementOf(std::string("abc :"))));
    std::string whole;
    for (const auto& it : texts)
        whole += "data: " + it + "\n\n";
    EventStreamSplitter splitter;
    std::string passed;
    std::size_t n = 0;
    for (std::size_t at = 0; at < whole.size();) {
        auto size = *rc::gen::inRange<std::size_t>(1, 9);
        for (const auto& it : splitter.append(std::string_view(whole).substr(at, size))) {
            passed += it.bytes;
            RC_ASSERT(it.data == texts[n++]);
        }
        at += size;
    }
    RC_ASSERT(passed == whole);
    RC_ASSERT(!splitter.hasPartialEvent());
}

BOOST_AUTO_TEST_SUITE_END()
