#include "GroupCommitter.h"

#include "basilpoint/Journal/Errors.h"

#include <algorithm>
#include <iterator>

namespace basilpoint {

// Limits the memory of one write, and thereby the wait of the next group.
static constexpr std::size_t maxGroupBytes = 8 * 1024 * 1024;

GroupCommitter::GroupCommitter(SegmentLog& log, bool markSynced)
    : m_log(log)
    , m_markSynced(markSynced)
    , m_thread([this] { run(); })
{
}

GroupCommitter::~GroupCommitter()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

void GroupCommitter::write(std::string record, Done done)
{
    std::vector<std::string> records;
    records.push_back(std::move(record));
    writeTogether(std::move(records), std::move(done));
}

void GroupCommitter::writeTogether(std::vector<std::string> records, Done done)
{
    enqueue({ std::move(records), false, std::move(done) });
}

void GroupCommitter::compact(std::vector<std::string> snapshot, Done done)
{
    enqueue({ std::move(snapshot), true, std::move(done) });
}

void GroupCommitter::compact(SegmentLog::RecordSource snapshot, std::uint64_t bytes, Done done)
{
    enqueue({ {}, true, std::move(done), std::move(snapshot), bytes });
}

void GroupCommitter::enqueue(Task task)
{
    {
        std::lock_guard lock(m_mutex);
        m_queue.push_back(std::move(task));
    }
    m_wake.notify_one();
}

// Returns an empty group once the committer stops and the queue is empty.
std::vector<GroupCommitter::Task> GroupCommitter::takeNextGroup()
{
    std::unique_lock lock(m_mutex);
    m_wake.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
    std::vector<Task> group;
    std::size_t groupBytes = 0;
    while (!m_queue.empty() && groupBytes < maxGroupBytes) {
        if (!group.empty() && (m_queue.front().isSnapshot || group.back().isSnapshot))
            break;
        group.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
        if (!group.back().isSnapshot)
            for (const std::string& it : group.back().records)
                groupBytes += it.size();
    }
    return group;
}

std::exception_ptr GroupCommitter::commitGroup(std::vector<Task>& group)
{
    if (m_failure)
        return m_failure;
    try {
        if (group.front().isSnapshot) {
            const Task& snapshot = group.front();
            snapshot.source ? m_log.compact(snapshot.source, snapshot.sourceBytes) : m_log.compact(snapshot.records);
            return nullptr;
        }
        std::vector<std::string> records;
        for (Task& task : group)
            std::move(task.records.begin(), task.records.end(), std::back_inserter(records));
        m_log.append(records);
        return nullptr;
    } catch (const JournalFullError&) {
        // Thrown before anything is written, so that the log is unchanged and still usable.
        return std::current_exception();
    } catch (const std::exception&) {
        // After a failed fsync the system may drop the data and report success for the next one.
        m_failure = std::current_exception();
        return m_failure;
    }
}

void GroupCommitter::writeMark()
{
    if (m_failure || !m_markSynced)
        return;
    try {
        m_log.markSynced();
    } catch (const std::exception&) {
        m_failure = std::current_exception();
    }
}

void GroupCommitter::run()
{
    for (std::vector<Task> group = takeNextGroup(); !group.empty(); group = takeNextGroup()) {
        std::exception_ptr failure = commitGroup(group);
        for (const Task& task : group)
            task.done(failure);
        // Mark after the callbacks, so that callers do not wait for the mark.
        if (!group.front().isSnapshot)
            writeMark();
    }
}

} // namespace basilpoint
