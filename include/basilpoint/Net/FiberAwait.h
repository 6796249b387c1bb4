#pragma once

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <utility>

namespace basilpoint {

/// Result of one asynchronous operation.
struct IoResult {
    boost::system::error_code ec;
    /// Bytes moved, where the operation moves bytes.
    std::size_t size = 0;
};

/// Completion handler that stores the result and wakes the fiber that waits for it.
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
        // Handlers never run inside the initiating call, so the fiber is suspended by now.
        boost::fibers::context::active()->schedule(m_fiber);
    }

private:
    IoResult* m_result;
    boost::fibers::context* m_fiber;
};

/// Starts an Asio operation and suspends the calling fiber until it completes.
///
/// \param initiate receives the completion handler and starts the operation with it.
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
