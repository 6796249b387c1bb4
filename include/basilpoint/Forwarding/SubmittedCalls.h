#pragma once

#include "basilpoint/Support/Clock.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace basilpoint {

/// Remembers the non-idempotent calls that this daemon has handed to targets, so that none is handed on twice.
///
/// A caller that repeats a call whose answer was lost, with the same id, must be told that it may have run. Each daemon
/// knows only its own calls.
class SubmittedCalls {
public:
    /// Records that the call is about to be handed on. \returns false if one with this id is in progress or may have run.
    bool begin(const std::string&, TimePoint now);

    /// Records the end of a call. One that has certainly not run may be repeated.
    void end(const std::string&, bool mayHaveRun);

    std::size_t size() const { return m_calls.size(); }

    /// How long a call is remembered; longer than callers repeat one.
    static constexpr std::chrono::minutes retention { 5 };
    /// Maximum number of calls that are remembered. Beyond it the oldest are forgotten.
    static constexpr std::size_t maxCalls = 100'000;

private:
    void forgetOld(TimePoint now);

    std::unordered_map<std::string, TimePoint> m_calls;
    /// Oldest first; may name calls that have been forgotten.
    std::deque<std::pair<TimePoint, std::string>> m_byAge;
};

} // namespace basilpoint
