#include "basilpoint/Shard/JournalHolder.h"

#include <boost/test/unit_test.hpp>

using namespace basilpoint;

namespace {

constexpr ShardId shard { 1 };

struct OneHolder {
    HolderReply ask(const HolderRequest& request)
    {
        HolderDecision decision = holder.handle(shard, request);
        if (decision.op)
            stored.push_back(*decision.op);
        return decision.reply;
    }

    bool sync(const OwnerTag& tag, std::uint64_t syncNumber, const std::vector<std::string>& entries)
    {
        return ask(SyncRequest { tag, { tag, syncNumber }, 0, 0, entries, { pair }, false, true }).accepted;
    }

    std::vector<std::string> log(const OwnerTag& tag) { return ask(ReadRequest { tag, 0 }).entries; }

    OwnerTag first { Epoch(1), InstanceId("m") };
    OwnerTag second { Epoch(2), InstanceId("m") };
    HolderSet pair { HolderId("A"), HolderId("B") };
    JournalHolder holder { HolderId("A") };
    std::vector<StorageOp> stored;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(JournalHolderTest, OneHolder)

BOOST_AUTO_TEST_CASE(refusesAppendFromOlderEpoch)
{
    BOOST_TEST(sync(first, 0, { "a" }));
    BOOST_TEST(ask(SealRequest { second }).accepted);
    HolderReply reply = ask(AppendRequest { { first, 0 }, 1, { "b" } });
    BOOST_TEST(!reply.accepted);
    BOOST_TEST((reply.highest == second));
    BOOST_TEST(!ask(AppendRequest { { second, 0 }, 1, { "b" } }).accepted);
    BOOST_TEST(!sync(first, 1, { "c" }));
    BOOST_TEST(log(second) == std::vector<std::string>({ "a" }), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(lateDuplicatesChangeNothing)
{
    BOOST_TEST(sync(first, 0, {}));
    AppendRequest append { { first, 0 }, 0, { "a", "b" } };
    BOOST_TEST(ask(append).accepted);
    BOOST_TEST(sync(first, 0, {}));
    BOOST_TEST(ask(append).length == 2U);
    BOOST_TEST(ask(AppendRequest { { first, 0 }, 1, { "b", "c" } }).length == 3U);
    BOOST_TEST(sync(first, 1, { "abc" }));
    BOOST_TEST(!ask(AppendRequest { { first, 0 }, 1, { "b" } }).accepted);
    BOOST_TEST(!sync(first, 0, {}));
    BOOST_TEST(log(first) == std::vector<std::string>({ "abc" }), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(incompleteSynchronizationLeavesTheLogUnchanged)
{
    BOOST_TEST(sync(first, 0, { "a", "b" }));
    BOOST_TEST(ask(SyncRequest { second, { second, 0 }, 1, 1, { "x" }, {}, false, false }).accepted);
    BOOST_TEST(log(second) == std::vector<std::string>({ "a", "b" }), boost::test_tools::per_element());
    JournalHolder restarted(holder.id());
    for (const StorageOp& op : stored)
        restarted.replay(op);
    holder = restarted;
    BOOST_TEST(!ask(SyncRequest { second, { second, 0 }, 1, 2, { "y" }, {}, false, true }).accepted);
    BOOST_TEST(log(second) == std::vector<std::string>({ "a", "b" }), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(storedOperationsAndSnapshotRebuildTheSameHolder)
{
    sync(first, 0, { "a", "b", "c" });
    ask(SealRequest { second });
    ask(AddPairRequest { second, { HolderId("A"), HolderId("C") } });
    ask(SyncRequest { second, { second, 0 }, 1, 1, { "x" }, { pair }, true, true });
    BOOST_TEST((ask(SealRequest { second }).pairs == std::set<HolderSet> { pair }));
    ask(AppendRequest { { second, 0 }, 2, { "y" } });
    JournalHolder replayed(holder.id());
    for (const StorageOp& op : stored)
        replayed.replay(op);
    BOOST_TEST((replayed.snapshot() == holder.snapshot()));
    JournalHolder fromSnapshot(holder.id());
    for (const StorageOp& op : holder.snapshot())
        fromSnapshot.replay(op);
    BOOST_TEST((fromSnapshot.snapshot() == holder.snapshot()));
    BOOST_TEST(log(second) == std::vector<std::string>({ "a", "x", "y" }), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
