#pragma once

#include "RateLimitTracker.h"
#include "TargetMonitor.h"

#include "basilpoint/Forwarding/RecentPrograms.h"
#include "basilpoint/Forwarding/RefusalPolicy.h"
#include "basilpoint/Forwarding/RoomQueue.h"
#include "basilpoint/Forwarding/TargetSelector.h"
#include "basilpoint/Gateway/JsonLog.h"
#include "basilpoint/Gateway/WireFormat.h"
#include "basilpoint/Net/FiberSignal.h"
#include "basilpoint/Net/HttpClient.h"
#include "basilpoint/Support/Metrics.h"

#include <memory>
#include <variant>

namespace basilpoint {

struct ForwardedCall;

/// Room at an engine for one call.
struct Room {
    Registration target;
    /// Empty if the call runs without one, since the engine did not answer the request for it.
    std::string reservation;
};

/// Why a call got no room, and when its caller should try again.
struct NoRoom {
    RoomRefusal refusal = RoomRefusal::TooLate;
    Milliseconds retryAfter { 0 };
};

/// Reserves room at engines before calls are sent there. Calls wait in order while the engines have none.
class RoomController {
public:
    RoomController(HttpClient&, TargetSelector&, TargetMonitor&, RateLimitTracker&, const WireFormat&, const Clock&, JsonLog&, Metrics&, RandomEngine::result_type seed);
    ~RoomController();

    /// Reservations are made only after this was called with true.
    void setEnabled(bool isEnabled) { m_isEnabled = isEnabled; }

    /// Whether calls like this one need room.
    bool manages(const ForwardedCall&) const;

    /// Waits until there is room for the call. \returns nothing if its caller has left.
    std::variant<std::monostate, Room, NoRoom> acquire(ForwardedCall&);

    /// Returns a reservation that the call has not used.
    void giveBack(const Room&);

    /// Reports that a call which had room has ended.
    /// \param time how long it took at the engine; empty if it was not answered.
    void ended(const ForwardedCall&, std::optional<Milliseconds> time);

private:
    struct Need;
    struct Waiter;
    struct Service;
    enum class Answer;

    Service& serviceOf(const ServiceId&);
    Need needOf(const ForwardedCall&) const;
    std::vector<Registration> targetsFor(const Need&);
    std::optional<Room> askRound(const Need&);
    Answer ask(const Registration&, const Need&, std::string& reservation);
    std::variant<std::monostate, Room, NoRoom> waitFor(ForwardedCall&, const Need&, const RoomDecision&);
    std::variant<std::monostate, Room, NoRoom> refuse(const ForwardedCall&, const Need&, RoomRefusal, const RoomDecision&);
    void serveQueue(Service&);
    void noteWaiting(const Service&);
    void notePlaced(const ForwardedCall&, const Need&, const Room&, const RoomDecision&);
    void logFailure(const Registration&, std::string_view reason);

    HttpClient& m_client;
    TargetSelector& m_selector;
    TargetMonitor& m_monitor;
    RateLimitTracker& m_limits;
    const WireFormat& m_format;
    const Clock& m_clock;
    JsonLog& m_log;
    Metrics& m_metrics;
    RandomEngine m_random;
    /// Referred to by fibers, so that they are never moved; the configuration bounds their number.
    std::map<ServiceId, std::unique_ptr<Service>> m_services;
    /// Until when targets that refused a reservation are not asked again, by lifetime.
    std::map<std::string, TimePoint> m_refusedUntil;
    bool m_isEnabled = false;
    RecentPrograms m_programs;
    WaitingCallId m_lastId = 0;
    TimePoint m_failureLoggedAt = TimePoint::min();
    unsigned m_unloggedFailures = 0;
};

} // namespace basilpoint
