#pragma once

#include "basilpoint/Support/Clock.h"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace basilpoint {

/// Keeps this daemon within its share of the call rates to which targets limit all daemons together.
///
/// Each limit is divided among few daemons, chosen by a hash of their names and of the target's lifetime, so that all
/// daemons that know the same list agree without asking each other and each share is one call a second or more. The
/// others send nothing to the target; they are told when it no longer has a limit.
class RateLimits {
public:
    explicit RateLimits(std::string self)
        : m_self(std::move(self))
    {
    }

    /// Sets the names of all daemons that may send calls. Until then this daemon sends nothing to a limited target.
    void setDaemons(std::vector<std::string> names);

    enum class Change {
        None,
        /// The target has a limit that it did not have before, or that other daemons should be reminded of.
        Limited,
        /// The target has no limit any more.
        Lifted,
    };

    /// Records what an answer says of the target's limit.
    /// \param perSecond calls per second from all daemons; empty if the answer names no limit.
    /// \param sentAt when the answered call was sent; one sent before the limit was known says nothing about its end.
    Change answered(const std::string& lifetime, std::optional<double> perSecond, TimePoint sentAt, TimePoint now);

    /// Records a limit, or its end, that another daemon has learned of.
    void limited(const std::string& lifetime, double perSecond, TimePoint now);
    void lifted(const std::string& lifetime) { m_limits.erase(lifetime); }

    /// Importance of a call for which the limit is used.
    enum class Precedence {
        Usual,
        /// Uses only what the other calls have left over for a while.
        Low,
    };

    /// Whether a call may be sent to the target now.
    bool admits(const std::string& lifetime, Precedence, TimePoint now) const;

    /// Records that a call is sent.
    void sent(const std::string& lifetime, TimePoint now);

    /// Limit of the target; empty if it has none.
    std::optional<double> limitOf(const std::string& lifetime) const;

    bool isEmpty() const { return m_limits.empty(); }

    /// Drops limits that no answer has confirmed for \ref retention and that \p isConfirmed does not know either.
    void sweep(TimePoint now, const std::function<bool(const std::string& lifetime, double perSecond)>& isConfirmed);

    static constexpr std::chrono::minutes retention { 5 };
    /// Interval in which other daemons are reminded of a limit.
    static constexpr std::chrono::minutes reminderInterval { 1 };

private:
    struct Limit {
        double perSecond = 0;
        TimePoint namedAt;
        TimePoint remindedAt;
        /// This daemon's share in calls per second; 0 if it has none.
        double share = 0;
        /// Calls that may be sent, as of \ref countedAt.
        double tokens = 0;
        TimePoint countedAt;
    };

    double shareOf(const std::string& lifetime, double perSecond) const;
    static double burstOf(const Limit&);
    static double tokensAt(const Limit&, TimePoint now);
    void set(const std::string& lifetime, double perSecond, TimePoint now);

    std::string m_self;
    std::vector<std::string> m_daemons;
    std::unordered_map<std::string, Limit> m_limits;
};

} // namespace basilpoint
