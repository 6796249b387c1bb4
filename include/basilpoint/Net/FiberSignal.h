#pragma once

#include "basilpoint/Support/Clock.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace basilpoint {

/// Suspends the calling fiber for \p delay.
void sleepFiber(Milliseconds delay);

/// Wakes the fibers of this thread that wait for a change of state.
///
/// Fibers share one thread, so the state itself needs no lock; a waiter checks it again after each wake.
class FiberSignal {
public:
    /// Suspends until the next notifyAll().
    void wait();

    /// Suspends until the next notifyAll(), at most for \p limit. \returns false if the time ran out.
    bool waitFor(Milliseconds limit);

    void notifyAll() { m_condition.notify_all(); }

private:
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_condition;
};

} // namespace basilpoint
