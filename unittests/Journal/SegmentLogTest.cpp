#include "../../lib/Journal/SegmentLog.h"

#include "TemporaryFolder.h"

#include "basilpoint/Journal/Errors.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <map>
#include <optional>
#include <sys/stat.h>

using namespace basilpoint;

namespace {

using Records = std::vector<std::string>;

/// Hooks of a disk that fails at a given call and can lose unsynced data. Counts calls of write and sync.
struct FaultyDisk {
    FileHooks hooks()
    {
        FileHooks system = systemFileHooks();
        auto write = [this, system](int fd, const void* data, std::size_t size) {
            if (calls++ != failingCall)
                return system.write(fd, data, size);
            // A short write, as is every retry until one writes nothing, at which File::write() throws.
            ++failingCall;
            return system.write(fd, data, size / 2);
        };
        auto sync = [this](int fd) {
            if (calls++ == failingCall)
                return -1;
            struct stat status { };
            ::fstat(fd, &status);
            syncedSizes[status.st_ino] = status.st_size;
            return 0;
        };
        return { write, sync, [this](const std::filesystem::path&) { return freeBytes; } };
    }

    /// Truncates each file to its synced size and half of what was written since.
    void losePower(const std::filesystem::path& folder) const
    {
        for (const auto& entry : std::filesystem::directory_iterator(folder)) {
            struct stat status { };
            ::stat(entry.path().c_str(), &status);
            auto synced = syncedSizes.find(status.st_ino);
            off_t kept = synced == syncedSizes.end() ? 0 : synced->second;
            std::filesystem::resize_file(entry.path(), static_cast<std::uintmax_t>(kept + (status.st_size - kept) / 2));
        }
    }

    std::map<ino_t, off_t> syncedSizes;
    std::uint64_t freeBytes = 1 << 30;
    int calls = 0;
    int failingCall = -1;
};

struct LogFolder {
    static constexpr std::uint64_t segmentBytes = 256;

    SegmentLogSettings settings(FileHooks hooks = systemFileHooks()) const { return { folder.path(), segmentBytes, std::move(hooks) }; }

    Records load() const
    {
        SegmentLog log(settings());
        return read(log);
    }

    static Records read(SegmentLog& log)
    {
        Records records;
        log.load([&](std::string_view it) { records.emplace_back(it); });
        return records;
    }

    static void appendMarked(SegmentLog& log, const Records& records)
    {
        log.append(records);
        log.markSynced();
    }

    /// Writes three groups into one segment, the last of them not marked as synced.
    void writeGroups() const
    {
        SegmentLog log(settings());
        read(log);
        appendMarked(log, { "a", "bb" });
        appendMarked(log, { "ccc" });
        log.append({ "dddd" });
    }

    void writeSegments() const
    {
        SegmentLog log(settings());
        read(log);
        for (int n = 0; n < 30; ++n)
            appendMarked(log, { std::string(40, 'x') });
    }

    std::filesystem::path segment(unsigned number) const
    {
        std::string digits = std::to_string(number);
        return folder.path() / ("segment-" + std::string(20 - digits.size(), '0') + digits + ".log");
    }

    TemporaryFolder folder;
};

} // namespace

static std::string readContent(const std::filesystem::path& path)
{
    return readFile(path);
}

static void writeContent(const std::filesystem::path& path, const std::string& bytes)
{
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

static bool isPrefix(const Records& part, const Records& whole)
{
    return part.size() <= whole.size() && std::equal(part.begin(), part.end(), whole.begin());
}

BOOST_FIXTURE_TEST_SUITE(SegmentLogTest, LogFolder)

BOOST_AUTO_TEST_CASE(recordsAndHolderPersistAcrossRestarts)
{
    writeGroups();
    SegmentLog log(settings());
    HolderId holder = log.holder();
    BOOST_TEST(holder.text().size() == holderIdDigits);
    BOOST_TEST(read(log) == Records({ "a", "bb", "ccc", "dddd" }));
    for (int n = 0; n < 50; ++n)
        appendMarked(log, { std::string(20, 'x') });
    BOOST_TEST(std::filesystem::exists(segment(2)));
    BOOST_CHECK_THROW(SegmentLog { settings() }, JournalFolderError);
}

BOOST_AUTO_TEST_CASE(emptiedFolderGetsANewHolderId)
{
    HolderId first = SegmentLog(settings()).holder();
    BOOST_TEST((SegmentLog(settings()).holder() == first));
    std::filesystem::remove(segment(1));
    BOOST_TEST((SegmentLog(settings()).holder() != first));
}

BOOST_AUTO_TEST_CASE(tornTailIsTruncatedAtAnyByte)
{
    writeGroups();
    const std::string whole = readContent(segment(1));
    const Records all { "a", "bb", "ccc", "dddd" };
    for (std::size_t size = segmentHeaderBytes; size <= whole.size(); ++size) {
        writeContent(segment(1), whole.substr(0, size));
        Records kept = load();
        BOOST_TEST(isPrefix(kept, all));
        BOOST_TEST(kept.size() != 1U, "groups are kept or cut as a whole");
        {
            SegmentLog log(settings());
            BOOST_TEST(read(log) == kept);
            log.append({ "after" });
        }
        kept.emplace_back("after");
        BOOST_TEST(load() == kept);
        kept.pop_back();
        // Zeros instead of a missing end, since the system writes pages in any order.
        writeContent(segment(1), whole.substr(0, size) + std::string(whole.size() - size, '\0'));
        BOOST_TEST(load() == kept);
    }
}

BOOST_AUTO_TEST_CASE(flippedBitInAcknowledgedDataIsDetected)
{
    {
        SegmentLog log(settings());
        read(log);
        appendMarked(log, { "a", "bb" });
        appendMarked(log, { "ccc" });
    }
    const std::string whole = readContent(segment(1));
    const std::size_t lastMark = whole.size() - (encodeFrame(1, 0, {}).size());
    for (std::size_t at = 0; at < whole.size(); ++at) {
        std::string flipped = whole;
        flipped[at] = static_cast<char>(flipped[at] ^ (1 << (at % 8)));
        writeContent(segment(1), flipped);
        if (at < lastMark)
            BOOST_CHECK_THROW(load(), JournalCorruptError);
        else
            BOOST_TEST(load() == Records({ "a", "bb", "ccc" }));
    }
}

BOOST_AUTO_TEST_CASE(groupCopiedToAnotherOffsetIsIgnored)
{
    writeGroups();
    const std::string whole = readContent(segment(1));
    const std::size_t groupSize = encodeFrame(1, 0, { "dddd" }).size();
    writeContent(segment(1), whole + whole.substr(whole.size() - groupSize));
    BOOST_TEST(load() == Records({ "a", "bb", "ccc", "dddd" }));
}

BOOST_AUTO_TEST_CASE(missingOrForeignSegmentIsDetected)
{
    writeSegments();
    const std::string second = readContent(segment(2));
    std::filesystem::remove(segment(2));
    BOOST_CHECK_THROW(load(), JournalCorruptError);
    LogFolder other;
    other.writeSegments();
    writeContent(segment(2), readContent(other.segment(2)));
    BOOST_CHECK_THROW(load(), JournalCorruptError);
    writeContent(segment(2), second);
    BOOST_TEST(load().size() == 30U);
    std::filesystem::remove(segment(1));
    BOOST_CHECK_THROW(load(), JournalCorruptError);
}

BOOST_AUTO_TEST_CASE(crashDuringCompactionLeavesOneCompleteLog)
{
    writeGroups();
    const std::string old = readContent(segment(1));
    {
        SegmentLog log(settings());
        read(log);
        log.compact({ "sum" });
        BOOST_TEST(!std::filesystem::exists(segment(1)));
        BOOST_TEST(log.bytes() == std::filesystem::file_size(segment(2)));
        appendMarked(log, { "e" });
    }
    const std::string compacted = readContent(segment(2));
    // Crash before the rename: the old log is valid, whatever the temporary file contains.
    std::filesystem::remove(segment(2));
    for (std::size_t size = 0; size <= compacted.size(); size += 7) {
        writeContent(segment(1), old);
        writeContent(segment(2) += ".tmp", compacted.substr(0, size));
        BOOST_TEST(load() == Records({ "a", "bb", "ccc", "dddd" }));
    }
    // Crash after the rename, before the old segment is removed.
    writeContent(segment(2), compacted);
    BOOST_TEST(load() == Records({ "sum", "e" }));
    BOOST_TEST(!std::filesystem::exists(segment(1)));
}

BOOST_AUTO_TEST_CASE(compactionWithoutFreeSpaceIsRefusedAndLogStaysUsable)
{
    FaultyDisk disk;
    SegmentLog log(settings(disk.hooks()));
    read(log);
    appendMarked(log, { "a" });
    disk.freeBytes = 10;
    BOOST_CHECK_THROW(log.compact({ std::string(100, 'x') }), JournalFullError);
    appendMarked(log, { "b" });
    BOOST_TEST(std::filesystem::exists(segment(1)));
}

// Guards against processes that exceed their memory, since they hold a whole snapshot to write it.
BOOST_AUTO_TEST_CASE(snapshotIsWrittenInParts)
{
    constexpr std::size_t recordBytes = 100'000;
    constexpr unsigned records = 200;
    constexpr std::size_t maxHeld = 2 * 1024 * 1024;
    FileHooks hooks = systemFileHooks();
    std::size_t given = 0;
    std::size_t written = 0;
    hooks.write = [&written, write = hooks.write](int fd, const void* data, std::size_t size) {
        written += size;
        return write(fd, data, size);
    };
    {
        SegmentLog log(settings(hooks));
        read(log);
        written = 0;
        unsigned n = 0;
        auto source = [&]() -> std::optional<std::string> {
            BOOST_TEST(given - std::min(given, written) <= maxHeld);
            if (n == records)
                return std::nullopt;
            given += recordBytes;
            return std::string(recordBytes, static_cast<char>('a' + n++ % 26));
        };
        log.compact(source, records * recordBytes);
        BOOST_TEST(log.bytes() == std::filesystem::file_size(segment(2)));
    }
    SegmentLog log(settings());
    unsigned n = 0;
    log.load([&](std::string_view it) {
        BOOST_TEST(it.size() == recordBytes);
        BOOST_TEST(it.front() == static_cast<char>('a' + n % 26));
        ++n;
    });
    BOOST_TEST(n == records);
}

BOOST_AUTO_TEST_CASE(failureAtAnyCallLosesNoAcknowledgedRecord)
{
    auto work = [](SegmentLog& log, Records& acknowledged) {
        read(log);
        for (int n = 0; n < 12; ++n) {
            std::string record = std::string(30, 'x') + std::to_string(n);
            log.append({ record });
            acknowledged.push_back(record);
            log.markSynced();
            if (n == 8) {
                log.compact({ "snapshot" });
                acknowledged = { "snapshot" };
            }
        }
    };
    FaultyDisk faultless;
    {
        LogFolder scratch;
        Records acknowledged;
        SegmentLog log(scratch.settings(faultless.hooks()));
        work(log, acknowledged);
    }
    for (int call = 0; call < 2 * faultless.calls; ++call) {
        LogFolder scratch;
        FaultyDisk disk;
        disk.failingCall = call / 2;
        Records acknowledged;
        auto run = [&] {
            SegmentLog log(scratch.settings(disk.hooks()));
            work(log, acknowledged);
        };
        BOOST_CHECK_THROW(run(), JournalWriteError);
        if (call % 2 == 1)
            disk.losePower(scratch.folder.path());
        Records kept = scratch.load();
        // The record whose write failed may or may not have reached the disk.
        bool compacted = kept == Records { "snapshot" };
        BOOST_TEST((isPrefix(acknowledged, kept) || (compacted && acknowledged.size() == 9)), "failing call " << call / 2);
    }
}

BOOST_AUTO_TEST_SUITE_END()
