#pragma once

#include "basilpoint/Net/FiberSignal.h"

#include <map>
#include <memory>

namespace basilpoint {

/// Coalesces concurrent reads: callers that need a read in progress wait for it instead of reading again.
///
/// Sub-agents start together, and each of them would otherwise read their program from the store.
template <typename Key>
class SharedReads {
public:
    /// Waits for a read of \p key that is in progress. \returns whether there was one.
    bool join(const Key& key)
    {
        auto it = m_reads.find(key);
        if (it == m_reads.end())
            return false;
        std::shared_ptr<Read> read = it->second;
        while (!read->isDone)
            read->done.wait();
        return true;
    }

    /// Performs a read for which others can wait. \throws what \p call throws.
    template <typename Call>
    void run(const Key& key, Call call)
    {
        auto read = std::make_shared<Read>();
        m_reads.insert_or_assign(key, read);
        CompletionGuard end { *this, key, read };
        call();
    }

private:
    struct Read {
        bool isDone = false;
        FiberSignal done;
    };

    /// Wakes the waiting callers when the read ends, also by an exception.
    struct CompletionGuard {
        SharedReads& reads;
        Key key;
        std::shared_ptr<Read> read;

        ~CompletionGuard()
        {
            auto it = reads.m_reads.find(key);
            if (it != reads.m_reads.end() && it->second == read)
                reads.m_reads.erase(it);
            read->isDone = true;
            read->done.notifyAll();
        }
    };

    std::map<Key, std::shared_ptr<Read>> m_reads;
};

} // namespace basilpoint
