#include "PeerFrame.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace basilpoint;

BOOST_AUTO_TEST_SUITE(PeerFrameTest)

static bool decodesOrThrowsTyped(const std::string& bytes)
{
    try {
        decodePeerFrame(bytes);
    } catch (const InvalidInputError&) {
        return true;
    }
    return true;
}

static PeerFrame anyFrame()
{
    return { static_cast<PeerChannel>(*rc::gen::inRange(1, 256)), static_cast<PeerFrameKind>(*rc::gen::inRange(0, 4)), *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::string>() };
}

BOOST_AUTO_TEST_CASE(decodingReturnsTheEncodedFrame)
{
    BOOST_TEST(rc::check([] {
        PeerFrame frame = anyFrame();
        std::string bytes = encodePeerFrame(frame);
        RC_ASSERT(bytes.size() <= frame.body.size() + maxPeerFrameOverheadBytes);
        RC_ASSERT((decodePeerFrame(bytes) == frame));
    }));
}

BOOST_AUTO_TEST_CASE(corruptedFrameDecodesOrThrowsInvalidInputError)
{
    BOOST_TEST(rc::check([] {
        std::string bytes = encodePeerFrame(anyFrame());
        for (int n = *rc::gen::inRange(1, 4); n > 0 && !bytes.empty(); --n) {
            auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
            bytes[at] = *rc::gen::arbitrary<char>();
            if (*rc::gen::arbitrary<bool>())
                bytes.resize(at);
        }
        RC_ASSERT(decodesOrThrowsTyped(bytes));
        RC_ASSERT(decodesOrThrowsTyped(*rc::gen::arbitrary<std::string>()));
    }));
}

BOOST_AUTO_TEST_CASE(deepNestingAndHugeLengthsAreRejected)
{
    // 0x81 begins an array of one element; a recursive decoder would overflow its stack.
    BOOST_CHECK_THROW(decodePeerFrame(std::string(4'000'000, '\x81')), InvalidInputError);
    BOOST_CHECK_THROW(decodePeerFrame("\x85\x01\x01\x00\x00\x5b\xff\xff\xff\xff\xff\xff\xff\xff"), InvalidInputError);
}

BOOST_AUTO_TEST_SUITE_END()
