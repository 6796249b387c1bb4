#pragma once

#include "basilpoint/Net/FiberAwait.h"
#include "basilpoint/Net/FiberRuntime.h"

#include <boost/asio/steady_timer.hpp>

namespace basilpoint {

/// The one event loop of the test program.
inline FiberRuntime& testRuntime()
{
    static FiberRuntime runtime;
    return runtime;
}

inline void pause(std::chrono::milliseconds delay)
{
    boost::asio::steady_timer timer(testRuntime().io(), delay);
    awaitIo([&](auto handler) { timer.async_wait(std::move(handler)); });
}

/// Waits until \p condition holds. \returns false after ten seconds.
template <typename Condition>
bool waitUntil(Condition condition)
{
    for (unsigned n = 0; n < 2'000 && !condition(); ++n)
        pause(std::chrono::milliseconds(5));
    return condition();
}

} // namespace basilpoint
