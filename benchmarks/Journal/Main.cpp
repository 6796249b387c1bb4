#include "basilpoint/Journal/JournalStore.h"
#include "basilpoint/Support/Clock.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <fmt/format.h>
#include <mutex>

using namespace basilpoint;

static constexpr std::chrono::seconds runTime { 3 };
static constexpr std::size_t entryBytes = 6 * 1024;

namespace {

/// Closed-loop load: each writer waits until its operation is on disk before it writes the next one.
class ClosedLoop {
public:
    ClosedLoop(JournalStore& store, unsigned writers)
        : m_store(store)
        , m_running(writers)
    {
        m_latencies.reserve(1 << 20);
        for (unsigned n = 0; n < writers; ++n)
            writeOne(ShardId(n));
    }

    void wait()
    {
        std::unique_lock lock(m_mutex);
        m_finished.wait(lock, [this] { return m_running == 0; });
    }

    double perSecond() const { return static_cast<double>(m_latencies.size()) / std::chrono::duration<double>(runTime).count(); }

    double milliseconds(double quantile)
    {
        auto it = m_latencies.begin() + static_cast<std::ptrdiff_t>(quantile * static_cast<double>(m_latencies.size() - 1));
        std::nth_element(m_latencies.begin(), it, m_latencies.end());
        return std::chrono::duration<double, std::milli>(*it).count();
    }

private:
    void writeOne(ShardId shard)
    {
        StorageOp op;
        op.shard = shard;
        op.initialized = true;
        op.entries.emplace_back(entryBytes, 'x');
        TimePoint start = m_clock.now();
        m_store.write(op, [this, shard, start](const std::exception_ptr& failure) { finishOne(shard, start, failure); });
    }

    // Called on the store's thread.
    void finishOne(ShardId shard, TimePoint start, const std::exception_ptr& failure)
    {
        TimePoint now = m_clock.now();
        m_latencies.push_back(now - start);
        if (!failure && now - m_start < runTime)
            return writeOne(shard);
        std::lock_guard lock(m_mutex);
        --m_running;
        m_finished.notify_one();
    }

    SystemClock m_clock;
    JournalStore& m_store;
    TimePoint m_start = m_clock.now();
    std::vector<std::chrono::nanoseconds> m_latencies;
    std::mutex m_mutex;
    std::condition_variable m_finished;
    unsigned m_running;
};

} // namespace

static void runWriters(const std::filesystem::path& parent, unsigned writers)
{
    JournalStoreSettings settings;
    settings.folder = parent / fmt::format("journal-{}", writers);
    std::atomic<std::uint64_t> syncs = 0;
    settings.hooks.sync = [&syncs, sync = settings.hooks.sync](int fd) {
        ++syncs;
        return sync(fd);
    };
    {
        JournalStore store(settings);
        store.load([](const StorageOp&) {});
        ClosedLoop loop(store, writers);
        loop.wait();
        fmt::print("{:>7}  {:>9.0f}  {:>7.0f}  {:>6.2f}  {:>6.2f}  {:>6.2f}\n", writers, loop.perSecond(), static_cast<double>(syncs) / std::chrono::duration<double>(runTime).count(), loop.milliseconds(0.5), loop.milliseconds(0.95), loop.milliseconds(0.99));
    }
    std::filesystem::remove_all(settings.folder);
}

int main(int argc, char** argv)
{
    if (argc != 2) {
        fmt::print(stderr, "usage: bench-journal FOLDER\n");
        return 2;
    }
    fmt::print("writers  appends/s  syncs/s  p50 ms  p95 ms  p99 ms\n");
    for (unsigned writers : { 1U, 10U, 100U })
        runWriters(argv[1], writers);
    return 0;
}
