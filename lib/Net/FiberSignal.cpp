#include "basilpoint/Net/FiberSignal.h"

#include <boost/fiber/operations.hpp>
#include <mutex>

namespace basilpoint {

void sleepFiber(Milliseconds delay)
{
    boost::this_fiber::sleep_for(delay);
}

void FiberSignal::wait()
{
    std::unique_lock lock(m_mutex);
    m_condition.wait(lock);
}

bool FiberSignal::waitFor(Milliseconds limit)
{
    std::unique_lock lock(m_mutex);
    return m_condition.wait_for(lock, limit) == boost::fibers::cv_status::no_timeout;
}

} // namespace basilpoint
