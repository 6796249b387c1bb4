#include "../../lib/Journal/GroupCommitter.h"

#include "TemporaryFolder.h"

#include "basilpoint/Journal/Errors.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <set>

using namespace basilpoint;

namespace {

struct CommitterFixture {
    SegmentLogSettings settings()
    {
        FileHooks hooks = systemFileHooks();
        hooks.sync = [this, sync = hooks.sync](int fd) {
            ++syncs;
            return failSync ? -1 : sync(fd);
        };
        return { folder.path(), 1 << 20, std::move(hooks) };
    }

    void open()
    {
        log = std::make_unique<SegmentLog>(settings());
        log->load([this](std::string_view it) { loaded.emplace_back(it); });
        committer = std::make_unique<GroupCommitter>(*log);
    }

    void close()
    {
        committer.reset();
        log.reset();
    }

    GroupCommitter::Done countResult()
    {
        return [this](const std::exception_ptr& failure) { ++(failure ? failed : done); };
    }

    TemporaryFolder folder;
    std::atomic<int> syncs = 0;
    std::atomic<bool> failSync = false;
    std::atomic<int> done = 0;
    std::atomic<int> failed = 0;
    std::vector<std::string> loaded;
    std::unique_ptr<SegmentLog> log;
    std::unique_ptr<GroupCommitter> committer;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GroupCommitterTest, CommitterFixture)

BOOST_AUTO_TEST_CASE(writesInOrderAndSyncsInGroups)
{
    open();
    int before = syncs;
    std::vector<std::string> expected;
    for (int n = 0; n < 500; ++n) {
        expected.push_back(std::to_string(n));
        committer->write(expected.back(), countResult());
    }
    close();
    BOOST_TEST(done == 500);
    BOOST_TEST(syncs - before < 500);
    open();
    BOOST_TEST(loaded == expected);
}

// Guards against a crash that keeps the first half of an operation which takes several records.
BOOST_AUTO_TEST_CASE(recordsWrittenTogetherAreKeptOrLostTogether)
{
    open();
    committer->writeTogether({ "a", "b", "c" }, countResult());
    committer->writeTogether({ "d", "e" }, countResult());
    close();
    std::filesystem::path file;
    for (const auto& it : std::filesystem::directory_iterator(folder.path()))
        if (it.path().extension() == ".log")
            file = it.path();
    std::string whole = readFile(file);
    std::set<std::size_t> counts;
    for (std::size_t size = whole.size(); size >= segmentHeaderBytes; --size) {
        std::filesystem::resize_file(file, size);
        loaded.clear();
        open();
        counts.insert(loaded.size());
        close();
    }
    BOOST_TEST((counts == std::set<std::size_t> { 0, 3, 5 } || counts == std::set<std::size_t> { 0, 5 }));
}

BOOST_AUTO_TEST_CASE(compactionIsOrderedWithWrites)
{
    open();
    committer->write("a", countResult());
    committer->compact({ "sum" }, countResult());
    committer->write("b", countResult());
    close();
    open();
    BOOST_TEST(loaded == std::vector<std::string>({ "sum", "b" }));
    BOOST_TEST(done == 3);
}

BOOST_AUTO_TEST_CASE(failedSyncFailsEveryLaterWrite)
{
    open();
    failSync = true;
    committer->write("a", countResult());
    while (failed + done == 0)
        std::this_thread::yield();
    failSync = false;
    committer->write("b", countResult());
    committer->compact({ "sum" }, countResult());
    close();
    BOOST_TEST(failed == 3);
    BOOST_TEST(done == 0);
}

BOOST_AUTO_TEST_SUITE_END()
