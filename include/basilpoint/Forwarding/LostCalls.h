#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Hash.h"

#include <deque>
#include <string>
#include <vector>

namespace basilpoint {

/// Calls whose connection to a target was lost, for as long as it may turn out that the target's process ended.
///
/// A connection is also lost if the target or the network resets it, or if the target breaks an answer off.
class LostCalls {
public:
    /// \param lifetime lifetime of the target that the call was sent to.
    void add(const std::string& lifetime, const Digest& content, TimePoint now);

    /// Removes the calls lost with \p lifetime. \returns each different content once.
    std::vector<Digest> take(const std::string& lifetime, TimePoint now);

    std::size_t size() const { return m_calls.size(); }

    /// How long a call is kept; longer than the registration of a target that has ended.
    static constexpr std::chrono::seconds retention { 30 };
    /// Beyond this number the oldest calls are dropped.
    static constexpr std::size_t maxCalls = 2'000;

private:
    struct Call {
        std::string lifetime;
        Digest content;
        TimePoint lostAt;
    };

    void dropOld(TimePoint now);

    /// Oldest first.
    std::deque<Call> m_calls;
};

} // namespace basilpoint
