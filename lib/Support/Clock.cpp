#include "basilpoint/Support/Clock.h"

namespace basilpoint {

TimePoint SystemClock::now() const
{
    return std::chrono::steady_clock::now();
}

WallTimePoint SystemClock::wallNow() const
{
    return std::chrono::system_clock::now();
}

} // namespace basilpoint
