#pragma once

#include "basilpoint/Support/Clock.h"
#include "basilpoint/Support/Ids.h"
#include "basilpoint/Support/Random.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace basilpoint {

/// What a notice is about.
enum class NoticeKind {
    /// Digest of a request that kills targets; no daemon runs it.
    QuarantinedRequest,
    /// Target that leaves; no daemon gives it new work.
    LeavingTarget,
    /// Digest of a request that was in flight when a target died; it runs only alone.
    SuspectedRequest,
};

struct NoticeSubject {
    NoticeKind kind = NoticeKind::QuarantinedRequest;
    std::string text;

    auto operator<=>(const NoticeSubject&) const = default;
};

struct Notice {
    NoticeSubject subject;
    /// Higher goes before lower; one that is lifted goes before one in force.
    std::uint64_t revision = 1;
    bool lifted = false;
    /// Time left, as clocks are not compared across daemons.
    Milliseconds remaining { 0 };

    bool operator==(const Notice&) const = default;
};

/// Notices and a hash over all that the sender has, in one message.
struct NoticeMessage {
    InstanceId from;
    std::uint64_t summary = 0;
    std::vector<Notice> notices;
    /// Whether this answers another message.
    bool reply = false;

    bool operator==(const NoticeMessage&) const = default;
};

/// CBOR form for peer links. \throws InvalidInputError on input of another shape.
std::string encodeNoticeMessage(const NoticeMessage&);
NoticeMessage decodeNoticeMessage(std::string_view bytes);

struct SendNoticeAction {
    InstanceId to;
    NoticeMessage message;
};

/// A notice has come into force here, or was lifted.
struct NoticeChangedAction {
    Notice notice;
};

using NoticeAction = std::variant<SendNoticeAction, NoticeChangedAction>;
using NoticeActions = std::vector<NoticeAction>;

/// Brings short-lived notices to every daemon within seconds: bursts when news comes, and a hash in
/// each period that finds what bursts have missed.
class NoticeGossip {
public:
    NoticeGossip(InstanceId self, RandomEngine::result_type seed)
        : m_self(std::move(self))
        , m_random(seed)
    {
    }

    void setPeers(std::vector<InstanceId>);

    /// Puts a notice in force for \p lifetime, or extends it.
    NoticeActions raise(const NoticeSubject&, Milliseconds lifetime, TimePoint now);
    /// Takes a notice back on every daemon.
    NoticeActions lift(const NoticeSubject&, TimePoint now);
    NoticeActions received(const NoticeMessage&, TimePoint now);
    /// Call every 200 ms.
    NoticeActions tick(TimePoint now);

    bool inForce(const NoticeSubject&, TimePoint now) const;

private:
    struct Entry {
        std::uint64_t revision = 0;
        bool lifted = false;
        TimePoint expiresAt;
        unsigned burstsLeft = 0;
    };

    void merge(const Notice&, NoticeActions&, TimePoint now);
    Notice describe(const NoticeSubject&, const Entry&, TimePoint now) const;
    NoticeMessage message(TimePoint now, bool urgentOnly);
    std::uint64_t summary() const;
    std::vector<InstanceId> randomPeers(std::size_t n);

    InstanceId m_self;
    RandomEngine m_random;
    std::vector<InstanceId> m_peers;
    std::map<NoticeSubject, Entry> m_entries;
    TimePoint m_nextPeriod;
};

} // namespace basilpoint
