#include "ProgramLocks.h"

#include "basilpoint/Program/Errors.h"

namespace basilpoint {

static constexpr std::size_t maxWaitingCalls = 64;

ProgramGate::Pass::Pass(ProgramGate& gate, ProgramId program, CallOrder order)
    : m_gate(gate)
    , m_program(std::move(program))
    , m_order(order)
{
}

ProgramGate::Pass::~Pass()
{
    m_gate.leave(m_program, m_order);
}

std::unique_ptr<ProgramGate::Pass> ProgramGate::enter(const ProgramId& program, CallOrder order)
{
    std::shared_ptr<State>& slot = m_states[program];
    if (!slot)
        slot = std::make_shared<State>();
    std::shared_ptr<State> state = slot;
    if (state->waiting.size() >= maxWaitingCalls)
        throw ProgramBusyError(program);
    std::uint64_t ticket = ++m_nextTicket;
    state->waiting.push_back(ticket);
    auto mayEnter = [&] {
        bool free = !state->exclusive && (order == CallOrder::Shared || state->shared == 0);
        return free && state->waiting.front() == ticket;
    };
    while (!mayEnter())
        state->changed.wait();
    state->waiting.pop_front();
    if (order == CallOrder::Exclusive)
        state->exclusive = true;
    else
        ++state->shared;
    // The next in line may be a shared call that can go along.
    state->changed.notifyAll();
    return std::make_unique<Pass>(*this, program, order);
}

void ProgramGate::leave(const ProgramId& program, CallOrder order)
{
    auto it = m_states.find(program);
    std::shared_ptr<State> state = it->second;
    if (order == CallOrder::Exclusive)
        state->exclusive = false;
    else
        --state->shared;
    if (state->waiting.empty() && state->shared == 0)
        m_states.erase(it);
    state->changed.notifyAll();
}

} // namespace basilpoint
