#pragma once

#include "SegmentLog.h"

#include <condition_variable>
#include <deque>
#include <exception>
#include <mutex>
#include <thread>

namespace basilpoint {

/// Group commit: writes to a log on its own thread. Records queued during one sync are committed by the next.
class GroupCommitter {
public:
    /// Called on the committer's thread, with null on success or with the error.
    using Done = std::function<void(std::exception_ptr)>;

    /// \param markSynced whether to mark each group as synced after its callbacks were called.
    explicit GroupCommitter(SegmentLog&, bool markSynced = true);

    /// Waits until the queue is empty.
    ~GroupCommitter();

    void write(std::string record, Done);
    /// Queues records that are written in one frame, so that all or none of them are read back.
    void writeTogether(std::vector<std::string> records, Done);
    void compact(std::vector<std::string> snapshot, Done);
    /// As SegmentLog::compact(); calls \p snapshot on the committer's thread.
    void compact(SegmentLog::RecordSource snapshot, std::uint64_t bytes, Done);

private:
    struct Task {
        /// Records of one write, or all records of a snapshot.
        std::vector<std::string> records;
        bool isSnapshot = false;
        Done done;
        /// Gives the records of a snapshot if they are not in \ref records.
        SegmentLog::RecordSource source {};
        std::uint64_t sourceBytes = 0;
    };

    void enqueue(Task);
    void run();
    std::vector<Task> takeNextGroup();
    std::exception_ptr commitGroup(std::vector<Task>&);
    void writeMark();

    SegmentLog& m_log;
    bool m_markSynced;
    /// Error that makes all later writes fail; null if none occurred. Used by m_thread only.
    std::exception_ptr m_failure;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<Task> m_queue;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace basilpoint
