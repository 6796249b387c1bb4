#include "ShardCluster.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;
using namespace basilpoint::test;

namespace {

constexpr Milliseconds settleSpan { 60 };

struct FaultFreeCluster : ShardCluster {
    explicit FaultFreeCluster(bool allowWithoutService = true)
        : ShardCluster({ 1, allowWithoutService, Mutation::None, false })
    {
    }

    ~FaultFreeCluster()
    {
        BOOST_TEST(!findViolation(history()));
    }

    void own(std::size_t process, const HolderSet& candidates)
    {
        takeOver(process, candidates);
        run(settleSpan);
    }

    void serve(std::size_t process, const std::string& key)
    {
        request(process, key);
        run(settleSpan);
    }

    bool isOwning(std::size_t process) { return owner(process).state() == ShardOwner::State::Owning; }
    bool isDegraded(std::size_t process) { return owner(process).state() == ShardOwner::State::Degraded; }

    HolderSet pair() const { return { a, b }; }

    HolderId a = holderAt(0);
    HolderId b = holderAt(1);
    HolderId c = holderAt(2);
    HolderId d = holderAt(3);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TakeOverTest, FaultFreeCluster)

BOOST_AUTO_TEST_CASE(handsTheLogFromOwnerToOwner)
{
    own(0, pair());
    serve(0, "1-0");
    serve(0, "1-1");
    release(0);
    own(1, pair());
    BOOST_TEST(!isOwning(0));
    BOOST_TEST(isOwning(1));
    BOOST_TEST(logSize(1) == 2U);
    serve(1, "1-1");
    BOOST_TEST(counts().effects == 2U);
    BOOST_TEST(counts().writes == 2U);
}

BOOST_AUTO_TEST_CASE(singleHolderServesAndMovesToAPair)
{
    own(0, { a });
    serve(0, "1-0");
    replace(0, {}, b);
    run(settleSpan);
    BOOST_TEST((record()->holders == pair()));
    serve(0, "1-1");
    crash(0);
    setHolderUp(0, false);
    own(1, { c, d });
    run(settleSpan * 4);
    BOOST_TEST(isOwning(1));
    BOOST_TEST(logSize(1) == 2U);
    BOOST_TEST((record()->holders == HolderSet { b, c }));
}

BOOST_AUTO_TEST_CASE(compactionKeepsTheState)
{
    own(0, pair());
    serve(0, "1-0");
    serve(0, "1-1");
    compact(0);
    request(0, "1-2");
    run(settleSpan);
    BOOST_TEST(counts().effects == 3U);
    BOOST_TEST(owner(0).logLength() == 2U);
    own(1, pair());
    BOOST_TEST(logSize(1) == 3U);
}

// While the service is unavailable, it is not known whether A and C or still A and B are the holders. Entries on
// A and C alone would be missing from an owner that takes over from B.
BOOST_AUTO_TEST_CASE(appendsDuringAChangeAreSafeWhenTheCommonHolderIsLost)
{
    own(0, pair());
    setHolderUp(1, false);
    replace(0, b, c);
    run(Milliseconds(4));
    request(0, "1-0");
    setServiceUp(false);
    run(settleSpan);
    BOOST_TEST(isDegraded(0));
    BOOST_TEST(counts().effects == 0U);
    setHolderUp(0, false);
    setHolderUp(1, true);
    crash(0);
    setServiceUp(true);
    own(1, { c, d });
    run(settleSpan * 4);
    BOOST_TEST(isOwning(1));
    serve(1, "1-0");
    BOOST_TEST(counts().effects == 1U);
}

// The change to A and C took effect, but its answer was lost. The next owner knows only the record with A and B and
// takes over without the service; the one after that reads the record with A and C. Both must find all entries.
BOOST_AUTO_TEST_CASE(takeOversFromEitherPairFindAllEntriesAfterAChangeWithLostAnswer)
{
    own(0, pair());
    serve(0, "1-0");
    owner(1).rememberRecord(*record());
    loseNextWriteAnswer();
    replace(0, b, c);
    run(Milliseconds(13));
    BOOST_TEST((record()->holders == HolderSet { a, c }));
    crash(0);
    setServiceUp(false);
    own(1, pair());
    BOOST_TEST(isOwning(1));
    BOOST_TEST(!owner(1).isRegistered());
    serve(1, "1-1");
    crash(1);
    setServiceUp(true);
    setHolderUp(0, false);
    own(2, { d });
    run(settleSpan * 4);
    BOOST_TEST(isOwning(2));
    BOOST_TEST(logSize(2) == 2U);
}

// If an emptied holder kept its id, its log would pass for the shard's and hide the entry on the other holder.
BOOST_AUTO_TEST_CASE(emptiedHolderDoesNotHideTheOtherHoldersLog)
{
    own(0, pair());
    serve(0, "1-0");
    crash(0);
    emptyHolder(1);
    setHolderUp(0, false);
    own(1, { c, holderAt(1) });
    BOOST_TEST(!isOwning(1));
    setHolderUp(0, true);
    run(settleSpan * 8);
    BOOST_TEST(isOwning(1));
    BOOST_TEST(logSize(1) == 1U);
}

BOOST_AUTO_TEST_CASE(lossOfBothHoldersIsWrittenToTheRecord)
{
    own(0, pair());
    serve(0, "1-0");
    crash(0);
    emptyHolder(0);
    emptyHolder(1);
    own(1, { c, d });
    BOOST_TEST(isOwning(1));
    BOOST_TEST((record()->lostThrough >= Epoch(1)));
    serve(1, "1-0");
    BOOST_TEST(counts().effects == 1U);
}

BOOST_AUTO_TEST_CASE(lossDuringATakeOverIsWrittenToTheRecord)
{
    own(0, pair());
    crash(0);
    setHolderUp(0, false);
    setHolderUp(1, false);
    own(1, { c, d });
    BOOST_TEST(!isOwning(1));
    emptyHolder(0);
    emptyHolder(1);
    own(1, { c, d });
    run(settleSpan * 8);
    BOOST_TEST(isOwning(1));
    BOOST_TEST((record()->lostThrough >= Epoch(1)));
}

BOOST_AUTO_TEST_CASE(neverSynchronizedHolderProvesThatTheLogIsEmpty)
{
    takeOver(0, pair());
    run(Milliseconds(4));
    BOOST_TEST((record()->holders == pair()));
    crash(0);
    emptyHolder(0);
    own(1, { c, d });
    BOOST_TEST(isOwning(1));
    BOOST_TEST((record()->lostThrough == Epoch()));
}

// Another owner takes over while the first one is paused between acknowledgement and dispatch. It finds the request in
// its log and does not send it again; the first one must not send anything else.
BOOST_AUTO_TEST_CASE(ownerPausedBeforeDispatchSendsAtMostOnce)
{
    own(0, pair());
    request(0, "1-0");
    run(Milliseconds(2));
    TimePoint acknowledgedAt = now();
    pause(0, settleSpan * 4);
    run(Milliseconds(1));
    own(1, pair());
    BOOST_TEST(isOwning(1));
    serve(1, "1-0");
    BOOST_TEST(logSize(1) == 1U);
    run(settleSpan * 8);
    BOOST_TEST(!owner(0).mayDispatch(acknowledgedAt, now()));
    serve(0, "1-1");
    BOOST_TEST(!isOwning(0));
    BOOST_TEST(!owner(0).mayDispatch(now(), now()));
    BOOST_TEST(counts().effects == 1U);
}

BOOST_AUTO_TEST_CASE(degradedAcknowledgementAllowsNoDispatch)
{
    own(0, pair());
    serve(0, "1-0");
    setServiceUp(false);
    setHolderUp(1, false);
    replace(0, b, c);
    run(settleSpan);
    BOOST_TEST(isDegraded(0));
    serve(0, "1-1");
    BOOST_TEST(counts().effects == 1U);
    setServiceUp(true);
    run(settleSpan);
    BOOST_TEST(isOwning(0));
    serve(0, "1-2");
    BOOST_TEST(counts().effects == 2U);
    BOOST_TEST((record()->holders == HolderSet { a, c }));
}

// The first change of holders removed B, the second one A, which was then emptied. A candidate that knows only the
// record with A and B must not take over without the service.
BOOST_AUTO_TEST_CASE(candidateWithStaleRecordDoesNotTakeOver)
{
    own(0, pair());
    owner(1).rememberRecord(*record());
    replace(0, b, c);
    run(settleSpan);
    serve(0, "1-0");
    replace(0, a, d);
    run(settleSpan);
    BOOST_TEST((record()->holders == HolderSet { c, d }));
    serve(0, "1-1");
    emptyHolder(0);
    setServiceUp(false);
    own(1, pair());
    BOOST_TEST(!isOwning(1));
    BOOST_TEST(isOwning(0));
}

BOOST_AUTO_TEST_CASE(candidateWithRecordFromBeforeALossDoesNotTakeOver)
{
    HolderId e = holderAt(4);
    own(0, { c, d });
    serve(0, "1-0");
    owner(1).rememberRecord(*record());
    replace(0, c, a);
    run(settleSpan);
    replace(0, d, b);
    run(settleSpan);
    BOOST_TEST((record()->holders == pair()));
    crash(0);
    emptyHolder(0);
    emptyHolder(1);
    own(2, { d, e });
    BOOST_TEST(isOwning(2));
    compact(2);
    run(settleSpan);
    crash(2);
    setServiceUp(false);
    own(1, { c, d });
    run(settleSpan * 4);
    BOOST_TEST(!isOwning(1));
}

BOOST_AUTO_TEST_CASE(sameEpochWithAndWithoutTheServiceHasOneOwner)
{
    own(2, pair());
    crash(2);
    owner(1).rememberRecord(*record());
    takeOver(0, pair());
    run(Milliseconds(3));
    setServiceUp(false);
    takeOver(1, pair());
    run(Milliseconds(12));
    BOOST_TEST((owner(0).epoch() == owner(1).epoch()));
    run(settleSpan);
    request(0, "1-0");
    serve(1, "1-0");
    BOOST_TEST((isOwning(0) != isOwning(1)));
    BOOST_TEST(counts().effects == 1U);
}

BOOST_AUTO_TEST_CASE(ownerWithoutServiceIsRegisteredLater)
{
    own(0, pair());
    owner(1).rememberRecord(*record());
    setServiceUp(false);
    own(1, pair());
    BOOST_TEST(isOwning(1));
    serve(1, "2-0");
    setServiceUp(true);
    run(settleSpan);
    BOOST_TEST(owner(1).isRegistered());
    BOOST_TEST((record()->epoch == owner(1).epoch()));
    serve(0, "1-1");
    BOOST_TEST(!isOwning(0));
}

BOOST_AUTO_TEST_SUITE_END()
