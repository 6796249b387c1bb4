#pragma once

#include "basilpoint/Net/FiberSignal.h"
#include "basilpoint/Support/Ids.h"

#include <deque>
#include <memory>
#include <unordered_map>

namespace basilpoint {

/// How a call stands to the other calls of its program.
enum class CallOrder {
    /// Model calls and closing: alone.
    Exclusive,
    /// Tool calls: beside other tool calls.
    Shared,
};

/// Keeps the calls of one program in the order in which they came.
class ProgramGate {
public:
    /// Holds the program's place until it goes out of scope.
    class Pass {
    public:
        Pass(ProgramGate&, ProgramId, CallOrder);
        ~Pass();

        Pass(const Pass&) = delete;
        Pass& operator=(const Pass&) = delete;

    private:
        ProgramGate& m_gate;
        ProgramId m_program;
        CallOrder m_order;
    };

    /// Suspends the fiber until every earlier call that excludes this one has ended.
    /// \throws ProgramBusyError if too many calls of the program wait.
    std::unique_ptr<Pass> enter(const ProgramId&, CallOrder);

    /// Programs with calls under way.
    std::size_t size() const { return m_states.size(); }

private:
    struct State {
        std::deque<std::uint64_t> waiting;
        unsigned shared = 0;
        bool exclusive = false;
        FiberSignal changed;
    };

    void leave(const ProgramId&, CallOrder);

    std::unordered_map<ProgramId, std::shared_ptr<State>> m_states;
    std::uint64_t m_nextTicket = 0;
};

} // namespace basilpoint
