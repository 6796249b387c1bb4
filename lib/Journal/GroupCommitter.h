#pragma once

#include "SegmentLog.h"

#include <condition_variable>
#include <deque>
#include <exception>
#include <mutex>
#include <thread>

namespace basilpoint {

/// Writes to a log on a thread of its own: what was queued during one sync goes out with the next.
class GroupCommitter {
public:
    /// Called on the committer's thread.
    using Done = std::function<void(std::exception_ptr)>;

    /// \param markSynced whether to mark each group as synced once its callers know.
    explicit GroupCommitter(SegmentLog&, bool markSynced = true);

    /// Waits for what is queued.
    ~GroupCommitter();

    void write(std::string operation, Done);
    void compact(std::vector<std::string> snapshot, Done);

private:
    struct Task {
        /// One operation, or a whole snapshot.
        std::vector<std::string> operations;
        bool isSnapshot = false;
        Done done;
    };

    void enqueue(Task);
    void run();
    std::vector<Task> takeGroup();
    std::exception_ptr carryOut(std::vector<Task>&);
    void mark();

    SegmentLog& m_log;
    bool m_markSynced;
    /// Why no write is taken any more. Used by the thread alone.
    std::exception_ptr m_failure;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<Task> m_queue;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace basilpoint
