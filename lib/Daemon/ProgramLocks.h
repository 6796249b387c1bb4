#pragma once

#include "basilpoint/Net/FiberSignal.h"
#include "basilpoint/Support/Ids.h"

#include <deque>
#include <memory>
#include <unordered_map>

namespace basilpoint {

/// Whether calls of a program may run concurrently.
enum class LockMode {
    /// Runs alone; for model calls and closing.
    Exclusive,
    /// Runs concurrently with other shared calls; for tool calls.
    Shared,
};

/// One shared/exclusive lock per program, granted in the order of the requests.
class ProgramLocks {
public:
    /// Holds the program's lock until its destruction.
    class Guard {
    public:
        Guard(ProgramLocks&, ProgramId, LockMode);
        ~Guard();

        Guard(const Guard&) = delete;
        Guard& operator=(const Guard&) = delete;

    private:
        ProgramLocks& m_locks;
        ProgramId m_program;
        LockMode m_mode;
    };

    /// Suspends the fiber until the lock is granted: after all earlier calls that exclude this one have ended.
    /// \throws ProgramBusyError if too many calls of the program wait.
    std::unique_ptr<Guard> lock(const ProgramId&, LockMode);

    /// Number of programs with locks held or waited for.
    std::size_t size() const { return m_states.size(); }

private:
    struct State {
        std::deque<std::uint64_t> waiting;
        unsigned shared = 0;
        bool exclusive = false;
        FiberSignal changed;
    };

    void unlock(const ProgramId&, LockMode);

    std::unordered_map<ProgramId, std::shared_ptr<State>> m_states;
    std::uint64_t m_nextTicket = 0;
};

} // namespace basilpoint
