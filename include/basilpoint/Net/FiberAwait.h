#pragma once

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <utility>

namespace basilpoint {

/// Result of one asynchronous operation.
struct IoResult {
    boost::system::error_code ec;
    /// Bytes transferred, or another number that the operation yields, such as a signal's.
    std::size_t size = 0;
};

/// Completion handler that stores the result and resumes the waiting fiber.
class FiberWaker {
public:
    FiberWaker(IoResult& result, boost::fibers::context* fiber)
        : m_result(&result)
        , m_fiber(fiber)
    {
    }

    void operator()(boost::system::error_code ec, std::size_t size = 0) const
    {
        *m_result = { ec, size };
        // Asio never runs a handler inside the initiating function, so the fiber is already suspended.
        boost::fibers::context::active()->schedule(m_fiber);
    }

private:
    IoResult* m_result;
    boost::fibers::context* m_fiber;
};

/// Starts an Asio operation and suspends the calling fiber until it completes.
///
/// \param initiate starts the operation with the completion handler that it receives.
template <typename Initiate>
IoResult awaitIo(Initiate&& initiate)
{
    IoResult result;
    boost::fibers::context* self = boost::fibers::context::active();
    std::forward<Initiate>(initiate)(FiberWaker(result, self));
    self->suspend();
    return result;
}

} // namespace basilpoint
