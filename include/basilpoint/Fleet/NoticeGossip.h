#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Ids.h"
#include "basilpoint/Support/Random.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace basilpoint {

/// Kinds of notices.
enum class NoticeKind {
    /// Digest of a request that crashes targets; no daemon runs it.
    QuarantinedRequest,
    /// Target that shuts down; no daemon gives it new work.
    LeavingTarget,
    /// Digest of a request that was in flight when a target crashed; it runs only alone on a target.
    SuspectedRequest,
    /// Target that limits the rate of calls from all daemons together, and the limit.
    LimitedTarget,
    /// Daemon that is cut off from all targets; others do not send calls through it.
    CutOffDaemon,
    /// Run of a request that a target has not answered whole; daemons count those of each request.
    UnansweredRun,
};

struct NoticeSubject {
    NoticeKind kind = NoticeKind::QuarantinedRequest;
    std::string text;

    auto operator<=>(const NoticeSubject&) const = default;
};

struct Notice {
    NoticeSubject subject;
    /// The higher revision wins; of two equal ones, the lifted one wins.
    std::uint64_t revision = 1;
    bool lifted = false;
    /// Remaining lifetime instead of an expiry time, since daemons' clocks are not compared.
    Milliseconds remaining { 0 };

    bool operator==(const Notice&) const = default;
};

/// Notices, and a hash over all notices of the sender.
struct NoticeMessage {
    InstanceId from;
    std::uint64_t summary = 0;
    std::vector<Notice> notices;
    /// Whether this replies to another message. A reply gets none in return.
    bool reply = false;

    bool operator==(const NoticeMessage&) const = default;
};

/// Encode to and decode from CBOR for peer links. \throws InvalidInputError if \p bytes are not a valid message.
std::string encodeNoticeMessage(const NoticeMessage&);
NoticeMessage decodeNoticeMessage(std::string_view bytes);

struct SendNoticeAction {
    InstanceId to;
    NoticeMessage message;
};

/// A notice has come into force on this daemon, or was lifted.
struct NoticeChangedAction {
    Notice notice;
};

using NoticeAction = std::variant<SendNoticeAction, NoticeChangedAction>;
using NoticeActions = std::vector<NoticeAction>;

/// Distributes short-lived notices to all daemons within seconds: a change is sent in bursts, and a hash sent in each
/// period detects daemons that the bursts have missed.
class NoticeGossip {
public:
    NoticeGossip(InstanceId self, RandomEngine::result_type seed)
        : m_self(std::move(self))
        , m_random(seed)
    {
    }

    void setPeers(std::vector<InstanceId>);

    /// Puts a notice into force for \p lifetime, or extends it.
    NoticeActions raise(const NoticeSubject&, Milliseconds lifetime, TimePoint now);
    /// Revokes a notice on all daemons.
    NoticeActions lift(const NoticeSubject&, TimePoint now);
    NoticeActions received(const NoticeMessage&, TimePoint now);
    /// Call every 200 ms.
    NoticeActions tick(TimePoint now);

    bool inForce(const NoticeSubject&, TimePoint now) const;
    std::size_t size() const { return m_entries.size(); }

    /// Maximum number of notices. Beyond it, further suspected requests are not noted.
    static constexpr std::size_t maxEntries = 10'000;
    /// Beyond this number, unanswered runs that were lifted are forgotten, and further ones are not noted.
    static constexpr std::size_t maxEntriesWithRuns = maxEntries / 2;

private:
    struct Entry {
        std::uint64_t revision = 0;
        bool lifted = false;
        TimePoint expiresAt;
        unsigned burstsLeft = 0;
    };

    bool hasRoomFor(const NoticeSubject&) const;
    void merge(const Notice&, NoticeActions&, TimePoint now);
    Notice toNotice(const NoticeSubject&, const Entry&, TimePoint now) const;
    NoticeMessage makeMessage(TimePoint now, bool changesOnly);
    std::uint64_t summary() const;
    std::vector<InstanceId> randomPeers(std::size_t n);

    InstanceId m_self;
    RandomEngine m_random;
    std::vector<InstanceId> m_peers;
    std::map<NoticeSubject, Entry> m_entries;
    TimePoint m_nextPeriod;
    /// Periods left in which peers are asked for notices although this daemon has none.
    unsigned m_startPeriodsLeft = 0;
};

} // namespace basilpoint
