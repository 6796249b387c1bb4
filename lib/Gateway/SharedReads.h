#pragma once

#include "basilpoint/Net/FiberSignal.h"

#include <map>
#include <memory>

namespace basilpoint {

/// Lets those who need the same read wait for the one that is under way.
///
/// Answers to sub-agents, which begin together and of which each would read their program anew.
template <typename Key>
class SharedReads {
public:
    /// If a read of \p key is under way, waits for its end. \returns whether one was.
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

    /// Carries out a read, others may wait for it. \throws what \p read throws.
    template <typename Call>
    void run(const Key& key, Call call)
    {
        auto read = std::make_shared<Read>();
        m_reads.insert_or_assign(key, read);
        End end { *this, key, read };
        call();
    }

private:
    struct Read {
        bool isDone = false;
        FiberSignal done;
    };

    /// Wakes those who wait, however the read ends.
    struct End {
        SharedReads& reads;
        Key key;
        std::shared_ptr<Read> read;

        ~End()
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
