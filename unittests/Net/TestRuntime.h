#pragma once

#include "basilpoint/Net/FiberAwait.h"
#include "basilpoint/Net/FiberRuntime.h"

#include <boost/asio/steady_timer.hpp>

namespace basilpoint {

/// Event loop that all tests of the program share.
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

/// Polls \p condition until it holds. \returns false if it does not after ten seconds.
template <typename Condition>
bool waitUntil(Condition condition)
{
    for (unsigned n = 0; n < 2'000 && !condition(); ++n)
        pause(std::chrono::milliseconds(5));
    return condition();
}

} // namespace basilpoint
