#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>

namespace basilpoint {

/// Runs fibers and an Asio event loop together on the calling thread.
///
/// Everything that the process does on sockets and timers runs in fibers of this one thread, so
/// state that fibers share needs no locks; it may change across each call that waits.
class FiberRuntime {
public:
    /// Makes the calling thread's event loop. Once per thread.
    FiberRuntime();

    /// Event loop of the runtime; it lives as long as the process.
    boost::asio::io_context& io() { return m_io; }

    /// Runs \p main as the first fiber and returns when it does; what it throws leaves this call.
    void run(const std::function<void()>& main);

private:
    boost::asio::io_context& m_io;
};

/// Ends the process with \p status without waiting for fibers that still run.
[[noreturn]] void exitProcess(int status);

/// Starts a detached fiber. An exception that leaves \p body ends the process.
void spawnFiber(std::function<void()> body);

/// Suspends the calling fiber until one of \p signals arrives. \returns its number.
int awaitSignal(boost::asio::signal_set& signals);

} // namespace basilpoint
