#include "basilpoint/Forwarding/RoomQueue.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start(1h);

WaitingCall call(WaitingCallId id, const std::string& organisation = {}, TimePoint arrivedAt = start)
{
    return { id, { organisation, 0, 0, false }, 100, arrivedAt, start + 10s };
}

} // namespace

BOOST_AUTO_TEST_SUITE(RoomQueueTest)

// Guards against less urgent calls that pass at once, and such that never pass.
BOOST_AUTO_TEST_CASE(urgentCallsPrecedeOthersForASecond)
{
    RoomQueue queue;
    WaitingCall less = call(1);
    less.waitClass.organisationPriority = 2;
    WaitingCall middle = call(2);
    middle.waitClass.routePriority = 1;
    queue.push(less, start);
    queue.push(middle, start);
    queue.push(call(3, {}, start + 500ms), start + 500ms);
    BOOST_TEST((queue.order(start + 500ms) == std::vector<WaitingCallId> { 3, 2, 1 }));
    less.programEnd = start + 1s;
    queue.push(less, start);
    BOOST_TEST(queue.first(start + 1s).value() == 1U);
}

BOOST_AUTO_TEST_CASE(laterTurnsPrecedeFirstOnesAndThenProgramsWithLessTime)
{
    RoomQueue queue;
    queue.push(call(1), start);
    WaitingCall soon = call(2);
    soon.programEnd = start + 1s;
    queue.push(soon, start);
    WaitingCall later = call(3);
    later.waitClass.isLaterTurn = true;
    queue.push(later, start);
    BOOST_TEST((queue.order(start) == std::vector<WaitingCallId> { 3, 2, 1 }));
    BOOST_TEST(queue.erase(3));
    BOOST_TEST(!queue.erase(3));
    BOOST_TEST(queue.first(start).value() == 2U);
}

// Guards against an organisation with many calls that delays another one's few.
BOOST_AUTO_TEST_CASE(organisationsGetRoomInTurn)
{
    RoomQueue queue;
    WaitingCallId id = 0;
    for (int n = 0; n < 20; ++n)
        queue.push(call(++id, "many"), start);
    for (int n = 0; n < 3; ++n)
        queue.push(call(++id, "few"), start);
    int ofFew = 0;
    for (int n = 0; n < 6; ++n) {
        WaitingCallId next = queue.first(start).value();
        queue.erase(next);
        queue.placed(next > 20 ? "few" : "many", 100);
        ofFew += next > 20 ? 1 : 0;
    }
    BOOST_TEST(ofFew == 3);
}

// Guards against the full queue of one organisation that leaves no place for another.
BOOST_AUTO_TEST_CASE(fullQueueDisplacesACallOfTheOrganisationWithMost)
{
    RoomQueue queue;
    WaitingCallId id = 0;
    // The other organisation got room last, so that a single call of it would come after each of the many.
    queue.placed("few", 150);
    while (id < RoomQueue::maxCalls)
        BOOST_TEST(!queue.push(call(++id, "many"), start).has_value());
    BOOST_TEST(queue.push(call(++id, "few"), start).value() == RoomQueue::maxCalls);
    BOOST_TEST(queue.size() == RoomQueue::maxCalls);
    WaitingCall last = call(++id, "many");
    last.programEnd = start + 20s;
    BOOST_TEST(queue.push(last, start).value() == id);
}

BOOST_AUTO_TEST_CASE(longestWaitIsThatOfTheClass)
{
    RoomQueue queue;
    queue.push(call(1, "a"), start);
    queue.push(call(2, "b", start + 300ms), start + 300ms);
    BOOST_TEST((queue.longestWait({ "a", 0, 0, false }, start + 400ms) == 400ms));
    BOOST_TEST((queue.longestWait({ "b", 0, 0, false }, start + 400ms) == 100ms));
    BOOST_TEST((queue.longestWait({ "b", 0, 0, true }, start + 400ms) == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()
