#pragma once

#include "basilpoint/Support/Clock.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace basilpoint {

/// Suspends the calling fiber for \p delay.
void sleepFiber(Milliseconds delay);

/// Condition variable for fibers of one thread that wait for a change of state.
///
/// Fibers share one thread, so the state itself needs no lock. A waiter must check the state again after each wake-up.
class FiberSignal {
public:
    /// Suspends until the next notifyAll().
    void wait();

    /// Suspends until the next notifyAll(), for at most \p limit. \returns false on timeout.
    bool waitFor(Milliseconds limit);

    void notifyAll() { m_condition.notify_all(); }

private:
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_condition;
};

} // namespace basilpoint
