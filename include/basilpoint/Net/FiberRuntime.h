#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>

namespace basilpoint {

/// Runs fibers and an Asio event loop together on the calling thread.
///
/// All socket and timer work of the process runs in fibers of this one thread, so state shared between
/// fibers needs no locks. It may change during any call that suspends the fiber.
class FiberRuntime {
public:
    /// Creates the event loop of the calling thread. At most once per thread.
    FiberRuntime();

    /// Event loop of the runtime; never destroyed.
    boost::asio::io_context& io() { return m_io; }

    /// Runs \p main as the first fiber until it returns. Rethrows its exception.
    void run(const std::function<void()>& main);

private:
    boost::asio::io_context& m_io;
};

/// Flushes the stdio streams and ends the process with \p status, without running destructors or waiting for other fibers.
[[noreturn]] void exitProcess(int status);

/// Starts a detached fiber. The process terminates if \p body throws.
void spawnFiber(std::function<void()> body);

/// Suspends the calling fiber until one of \p signals arrives. \returns its number.
int awaitSignal(boost::asio::signal_set& signals);

} // namespace basilpoint
