#include "ProgramLocks.h"

#include "basilpoint/Program/Errors.h"

namespace basilpoint {

static constexpr std::size_t maxWaitingCalls = 64;

ProgramLocks::Guard::Guard(ProgramLocks& locks, ProgramId program, LockMode mode)
    : m_locks(locks)
    , m_program(std::move(program))
    , m_mode(mode)
{
}

ProgramLocks::Guard::~Guard()
{
    m_locks.unlock(m_program, m_mode);
}

std::unique_ptr<ProgramLocks::Guard> ProgramLocks::lock(const ProgramId& program, LockMode mode)
{
    std::shared_ptr<State>& entry = m_states[program];
    if (!entry)
        entry = std::make_shared<State>();
    std::shared_ptr<State> state = entry;
    if (state->waiting.size() >= maxWaitingCalls)
        throw ProgramBusyError(program);
    std::uint64_t ticket = ++m_nextTicket;
    state->waiting.push_back(ticket);
    auto isGranted = [&] {
        bool free = !state->exclusive && (mode == LockMode::Shared || state->shared == 0);
        return free && state->waiting.front() == ticket;
    };
    while (!isGranted())
        state->changed.wait();
    state->waiting.pop_front();
    if (mode == LockMode::Exclusive)
        state->exclusive = true;
    else
        ++state->shared;
    // The next waiting call may be a shared one that can run concurrently.
    state->changed.notifyAll();
    return std::make_unique<Guard>(*this, program, mode);
}

void ProgramLocks::unlock(const ProgramId& program, LockMode mode)
{
    auto it = m_states.find(program);
    std::shared_ptr<State> state = it->second;
    if (mode == LockMode::Exclusive)
        state->exclusive = false;
    else
        --state->shared;
    if (state->waiting.empty() && state->shared == 0)
        m_states.erase(it);
    state->changed.notifyAll();
}

} // namespace basilpoint
