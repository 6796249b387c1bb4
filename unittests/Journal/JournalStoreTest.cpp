#include "basilpoint/Journal/JournalStore.h"

#include "TemporaryFolder.h"

#include "basilpoint/Journal/Errors.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <future>

using namespace basilpoint;

namespace {

/// A holder with its store, which can be restarted.
struct PersistentHolder {
    PersistentHolder() { start(); }

    void start()
    {
        store.reset();
        store = std::make_unique<JournalStore>(JournalStoreSettings { folder.path(), 1 << 20, 1 << 20, hooks });
        holder = std::make_unique<JournalHolder>(store->holder());
        store->load([this](const StorageOp& op) { holder->replay(op); });
    }

    void handle(ShardId shard, const HolderRequest& request)
    {
        HolderDecision decision = holder->handle(shard, request);
        BOOST_REQUIRE(decision.reply.accepted);
        wait([&](JournalStore::Done done) { store->write(*decision.op, std::move(done)); });
    }

    template <typename Operation>
    static void wait(const Operation& operation)
    {
        std::promise<void> promise;
        operation([&](const std::exception_ptr& failure) { failure ? promise.set_exception(failure) : promise.set_value(); });
        promise.get_future().get();
    }

    void writeTwoShards()
    {
        for (ShardId shard : { ShardId(1), ShardId(2) }) {
            handle(shard, SealRequest { tag });
            handle(shard, SyncRequest { tag, { tag, 1 }, 0, 0, { "first" }, { { store->holder() } }, true });
            handle(shard, AppendRequest { { tag, 1 }, 1, { "second", std::string("\0\xff", 2) } });
        }
    }

    TemporaryFolder folder;
    FileHooks hooks = systemFileHooks();
    OwnerTag tag { Epoch(3), InstanceId("owner") };
    std::unique_ptr<JournalStore> store;
    std::unique_ptr<JournalHolder> holder;
};

} // namespace

static std::vector<StorageOp> sortedSnapshot(const JournalHolder& holder)
{
    std::vector<StorageOp> ops = holder.snapshot();
    std::sort(ops.begin(), ops.end(), [](const StorageOp& left, const StorageOp& right) { return left.shard < right.shard; });
    return ops;
}

BOOST_FIXTURE_TEST_SUITE(JournalStoreTest, PersistentHolder)

BOOST_AUTO_TEST_CASE(holderStateIsRestoredAfterRestartAndCompaction)
{
    writeTwoShards();
    std::vector<StorageOp> before = sortedSnapshot(*holder);
    start();
    BOOST_TEST((sortedSnapshot(*holder) == before));
    wait([&](JournalStore::Done done) { store->compact(holder->snapshot(), std::move(done)); });
    handle(ShardId(1), AppendRequest { { tag, 1 }, 3, { "third" } });
    before = sortedSnapshot(*holder);
    start();
    BOOST_TEST((sortedSnapshot(*holder) == before));
    BOOST_TEST(holder->id().text() == store->holder().text());
}

BOOST_AUTO_TEST_CASE(ensureSpaceThrowsBelowMinimumFreeSpace)
{
    std::uint64_t freeBytes = 1 << 20;
    hooks.freeBytes = [&](const std::filesystem::path&) { return freeBytes; };
    start();
    BOOST_CHECK_NO_THROW(store->ensureSpace());
    --freeBytes;
    BOOST_CHECK_THROW(store->ensureSpace(), JournalFullError);
    store.reset();
}

BOOST_AUTO_TEST_CASE(failedSyncIsReportedAndFailsLaterWrites)
{
    bool failSync = false;
    hooks.sync = [&failSync, sync = systemFileHooks().sync](int fd) { return failSync ? -1 : sync(fd); };
    start();
    failSync = true;
    BOOST_CHECK_THROW(handle(ShardId(1), SealRequest { tag }), JournalWriteError);
    BOOST_CHECK_THROW(handle(ShardId(2), SealRequest { tag }), JournalWriteError);
    store.reset();
}

BOOST_AUTO_TEST_SUITE_END()
