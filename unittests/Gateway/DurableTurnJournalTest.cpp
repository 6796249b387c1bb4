#include "DurableTurnJournal.h"

#include "../Journal/TemporaryFolder.h"

#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <mutex>
#include <random>
#include <sys/stat.h>

using namespace basilpoint;

namespace {

using Kind = JournalOperation::Kind;

/// Disk whose syncs wait until the test lets them go on, one at a time.
class HeldDisk {
public:
    FileHooks hooks()
    {
        FileHooks hooks = systemFileHooks();
        hooks.sync = [this](int fd) { return sync(fd); };
        return hooks;
    }

    void finishOneSync()
    {
        std::lock_guard lock(m_mutex);
        ++m_permits;
        m_changed.notify_all();
    }

    void release()
    {
        std::lock_guard lock(m_mutex);
        m_isHeld = false;
        m_changed.notify_all();
    }

    void hold()
    {
        std::lock_guard lock(m_mutex);
        m_isHeld = true;
    }

    /// Records that the log has finished a write or compaction.
    void finished()
    {
        std::lock_guard lock(m_mutex);
        ++m_finished;
        m_changed.notify_all();
    }

    /// Waits until the log has finished \p n writes and compactions or is held in a sync.
    /// \returns whether it is held.
    bool settle(std::size_t n)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_finished >= n || (m_isWaiting && m_permits == 0); });
        return m_finished < n;
    }

    /// Copies the folder as it is after a kill, or after a power loss that keeps half of what was not synced.
    void copy(const std::filesystem::path& from, const std::filesystem::path& to, bool isPowerLost) const
    {
        for (const auto& it : std::filesystem::directory_iterator(from)) {
            std::filesystem::path copied = to / it.path().filename();
            std::filesystem::copy_file(it.path(), copied);
            if (!isPowerLost)
                continue;
            struct stat status { };
            ::stat(it.path().c_str(), &status);
            auto synced = m_syncedSizes.find(status.st_ino);
            off_t kept = synced == m_syncedSizes.end() ? 0 : synced->second;
            std::filesystem::resize_file(copied, static_cast<std::uintmax_t>(kept + (status.st_size - kept) / 2));
        }
    }

private:
    int sync(int fd)
    {
        std::unique_lock lock(m_mutex);
        m_isWaiting = true;
        m_changed.notify_all();
        m_changed.wait(lock, [this] { return !m_isHeld || m_permits > 0; });
        m_isWaiting = false;
        if (m_permits > 0)
            --m_permits;
        struct stat status { };
        ::fstat(fd, &status);
        m_syncedSizes[status.st_ino] = status.st_size;
        return 0;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isHeld = false;
    bool m_isWaiting = false;
    std::size_t m_permits = 0;
    std::size_t m_finished = 0;
    std::map<ino_t, off_t> m_syncedSizes;
};

/// What a journal answers its callers from.
struct Content {
    std::map<EntryName, JournalEntry> entries;
    bool isSynchronized = false;
    std::string view;

    bool operator==(const Content&) const = default;
};

Content contentOf(const TurnJournal& journal)
{
    Content content { {}, journal.isSynchronized(), journal.view() };
    for (const auto& [name, entry] : journal.entries())
        content.entries.emplace(name, *entry);
    return content;
}

JournalEntry entry(AccountChange::Kind kind, std::uint64_t step)
{
    AccountChange change;
    change.kind = kind;
    change.step = step;
    change.maxTokens = 10;
    change.grant = step / 2;
    if (kind == AccountChange::Kind::Settle)
        change.record = TurnRecord { CallId("turn-" + std::to_string(step)), {}, std::string(step * 7, 'i'), "out", TargetId("t") };
    return { ProgramId("p" + std::to_string(step % 3)), DaemonLifetime("d"), { change } };
}

JournalOperation append(AccountChange::Kind kind, std::uint64_t step)
{
    return { Kind::Append, encodeEntry(entry(kind, step)) };
}

/// A journal on a held disk, and all that it was given.
class JournalRun {
public:
    explicit JournalRun(unsigned seed)
        : m_random(seed)
    {
        m_journal = std::make_unique<DurableTurnJournal>(settings(m_folder.path(), m_disk.hooks()), [this](std::function<void()> function) { post(std::move(function)); });
        m_disk.hold();
    }

    ~JournalRun()
    {
        m_disk.release();
        m_journal.reset();
    }

    JournalRun(const JournalRun&) = delete;
    JournalRun& operator=(const JournalRun&) = delete;

    void write(const std::vector<JournalOperation>& operations)
    {
        m_given.push_back(operations);
        ++m_queued;
        m_journal->write(operations, [this, n = m_given.size()](const std::exception_ptr& failure) {
            BOOST_TEST(!failure);
            m_reported = n;
        });
    }

    void applyAtOnce(const JournalOperation& operation)
    {
        m_given.push_back({ operation });
        ++m_queued;
        m_journal->applyAtOnce(operation);
    }

    /// Begins a compaction unless the last one is still under way.
    void compact()
    {
        if (m_isCompacting)
            return;
        m_isCompacting = true;
        ++m_queued;
        m_journal->onCompaction([this](const std::exception_ptr& failure) {
            BOOST_TEST(!failure);
            m_isCompacting = false;
        });
        m_journal->compact();
    }

    void randomStep()
    {
        switch (m_random() % 10) {
        case 0:
        case 1:
            return write({ append(AccountChange::Kind::Settle, randomStepNumber()) });
        case 2:
            return write({ append(AccountChange::Kind::Grant, 2 * randomStepNumber()), append(AccountChange::Kind::GrantEnd, 2 * randomStepNumber() + 1) });
        case 3:
            return write({ { Kind::View, "view-" + std::to_string(m_random() % 100) }, { Kind::Reset } });
        case 4:
            return write({ { Kind::Synchronized } });
        case 5:
            return dropOne();
        case 6:
            return compact();
        case 7:
            return runPosted(m_random() % 4);
        default:
            m_disk.settle(m_queued);
            m_disk.finishOneSync();
        }
    }

    void runPosted(std::size_t n)
    {
        for (; n > 0; --n) {
            std::function<void()> function;
            {
                std::lock_guard lock(m_mutex);
                if (m_posted.empty())
                    return;
                function = std::move(m_posted.front());
                m_posted.pop_front();
            }
            function();
        }
    }

    /// Ends the process here and checks that the next one has all that was reported, in order and without a gap.
    void checkRestart(bool isPowerLost)
    {
        m_disk.settle(m_queued);
        TemporaryFolder copy;
        m_disk.copy(m_folder.path(), copy.path(), isPowerLost);
        FileHooks hooks = systemFileHooks();
        hooks.sync = [](int) { return 0; };
        DurableTurnJournal next(settings(copy.path(), std::move(hooks)), [](const std::function<void()>&) {});
        Content found = contentOf(next.state());
        BOOST_TEST(isReachedAfter(found, m_reported), (isPowerLost ? "power lost" : "killed") << " with " << m_reported << " of " << m_given.size() << " writes reported");
    }

    /// Lets all operations finish, and checks that memory and disk have the effect of each.
    void checkEnd()
    {
        while (m_disk.settle(m_queued))
            m_disk.finishOneSync();
        runPosted(m_queued);
        BOOST_TEST(isReachedAfter(contentOf(m_journal->state()), m_given.size()));
        m_reported = m_given.size();
        checkRestart(true);
    }

private:
    static RecordLogSettings settings(const std::filesystem::path& folder, FileHooks hooks)
    {
        RecordLogSettings settings;
        settings.folder = folder;
        settings.segmentBytes = 2'000;
        settings.hooks = std::move(hooks);
        settings.markSyncedGroups = false;
        return settings;
    }

    void post(std::function<void()> function)
    {
        {
            std::lock_guard lock(m_mutex);
            m_posted.push_back(std::move(function));
        }
        m_disk.finished();
    }

    // Few names, so that entries are often written twice or again after a drop.
    std::uint64_t randomStepNumber() { return 1 + m_random() % 12; }

    void dropOne()
    {
        const auto& entries = m_journal->state().entries();
        if (!entries.empty())
            applyAtOnce({ Kind::Drop, {}, std::next(entries.begin(), static_cast<std::ptrdiff_t>(m_random() % entries.size()))->first });
    }

    bool isReachedAfter(const Content& content, std::size_t n) const
    {
        TurnJournal model;
        for (std::size_t it = 0; it <= m_given.size(); ++it) {
            if (it >= n && contentOf(model) == content)
                return true;
            if (it < m_given.size())
                for (const JournalOperation& operation : m_given[it])
                    model.apply(operation);
        }
        return false;
    }

    std::mt19937 m_random;
    TemporaryFolder m_folder;
    HeldDisk m_disk;
    std::mutex m_mutex;
    std::deque<std::function<void()>> m_posted;
    std::vector<std::vector<JournalOperation>> m_given;
    /// Writes and compactions that were begun.
    std::size_t m_queued = 0;
    std::size_t m_reported = 0;
    bool m_isCompacting = false;
    std::unique_ptr<DurableTurnJournal> m_journal;
};

constexpr unsigned runs = 60;
constexpr int stepsPerRun = 60;

} // namespace

BOOST_AUTO_TEST_SUITE(DurableTurnJournalTest)

// Guards against turns, grants and views that compaction drops while they are being written.
BOOST_AUTO_TEST_CASE(compactionLosesNoOperationThatIsBeingWritten)
{
    for (const JournalOperation& operation : { append(AccountChange::Kind::Settle, 1), append(AccountChange::Kind::Grant, 1), JournalOperation { Kind::View, "view" }, JournalOperation { Kind::Synchronized } }) {
        JournalRun run(0);
        run.write({ operation });
        run.compact();
        run.checkEnd();
    }
}

// Guards against entries that compaction brings back, although their drop or the end of a membership was written before it.
BOOST_AUTO_TEST_CASE(compactionKeepsRemovalsThatAreBeingWritten)
{
    for (bool isReset : { true, false }) {
        JournalRun run(0);
        run.write({ { Kind::Synchronized }, append(AccountChange::Kind::Settle, 1) });
        run.checkEnd();
        if (isReset)
            run.write({ { Kind::View, "view" }, { Kind::Reset } });
        else
            run.applyAtOnce({ Kind::Drop, {}, { DaemonLifetime("d"), 1 } });
        run.compact();
        run.checkEnd();
    }
}

// Guards against a restart, at any moment, that misses a reported operation or has half of a change of the view.
BOOST_AUTO_TEST_CASE(restartAtAnyMomentFindsAllReportedOperations)
{
    for (unsigned seed = 1; seed <= runs; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            JournalRun run(seed);
            for (int n = 0; n < stepsPerRun; ++n) {
                run.randomStep();
                run.checkRestart(n % 2 == 0);
            }
            run.checkEnd();
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
