#pragma once

#include "basilpoint/Forwarding/TargetDirectory.h"
#include "basilpoint/Support/Random.h"

#include <map>
#include <set>

namespace basilpoint {

/// Tracks which targets this daemon can connect to, and detects that the daemon itself is cut off from a service.
///
/// One failed connection does not tell whether the target, the path or this daemon is at fault. If several targets of a
/// service fail and none of its targets shows a sign of life in between, the fault is taken to be this daemon's own.
class TargetReachability {
public:
    explicit TargetReachability(RandomEngine::result_type seed);

    /// What calls to a target may use.
    enum class Access {
        /// Open connections and new ones.
        Full,
        /// Open connections only, since the target's address refuses new ones.
        OpenConnections,
        None,
    };

    /// Records that a call has been sent to the target.
    void sent(const Registration&, TimePoint now);
    /// Records that a call at the target has ended.
    void ended(const TargetId&);
    /// Records that the target has sent something.
    void heard(const TargetId&, TimePoint now);
    /// Records that the target has accepted a connection.
    void connected(const Registration&, TimePoint now);
    /// Records that no connection to the target was established.
    void failed(const Registration&, bool isRefused, TimePoint now);
    /// Records that a probe has ended without a result.
    void probeAbandoned(const TargetId&);
    void forget(const TargetId&);

    /// \param targets all usable targets of the target's service.
    Access accessTo(const Registration&, const std::vector<const Registration*>& targets) const;

    /// Whether this daemon is cut off from the service that has these usable targets.
    bool isCutOff(const std::vector<const Registration*>& targets) const;

    /// Targets to which a connection should be opened now: to verify the suspicion that this daemon is cut off, to notice
    /// that a target is reachable again, or since a target with calls is silent. Each is taken to be in progress until
    /// connected() or failed() is called for it.
    /// \param targets all usable targets of one service.
    std::vector<const Registration*> takeDueProbes(const std::vector<const Registration*>& targets, TimePoint now);

private:
    /// Result of the last attempt to connect to a target.
    enum class Failure {
        None,
        NoAnswer,
        Refused,
    };

    struct Target {
        ServiceId service;
        unsigned inFlight = 0;
        /// Since when nothing has been heard of the target while it has calls.
        TimePoint quietSince;
        Failure failure = Failure::None;
        bool isProbing = false;
        /// When the last probe or failure began or ended.
        TimePoint checkedAt = TimePoint::min();
        /// Probes in a row with the same result, which lengthen the time until the next one.
        unsigned repeatedProbes = 0;
    };

    struct Service {
        /// Targets that have failed since the last sign of life of any target.
        std::set<TargetId> failed;
        TimePoint lastContact = TimePoint::min();
        bool isCutOff = false;
        /// Whether all targets that have failed refused the connection.
        bool areAllRefused = true;
        /// Signs of life since the last failure, while cut off.
        unsigned contacts = 0;
        /// When targets were last probed, while cut off.
        TimePoint probedAt = TimePoint::min();
        /// Whether targets have been probed since the service fell silent.
        bool isSilenceChecked = false;
    };

    const Service* find(const ServiceId&) const;
    void contact(const ServiceId&, TimePoint now);
    void leaveCutOff(const ServiceId&, Service&);
    bool isSuspicious(const Service&) const;
    std::size_t silentTargets(const std::vector<const Registration*>& targets, TimePoint now) const;
    static std::size_t evidenceFor(const std::vector<const Registration*>& targets);
    bool isProbeDue(const Target&, const Service&, bool isServiceQuiet, TimePoint now) const;
    bool isChecked(const Registration&) const;
    const Registration* takeProbe(const Registration&);
    std::vector<const Registration*> takeProbesToReturn(const std::vector<const Registration*>& candidates, Service&, TimePoint now);
    std::vector<const Registration*> takeProbesOfSuspicion(const std::vector<const Registration*>& candidates, const Service&, bool isSilent, TimePoint now);

    std::map<TargetId, Target> m_targets;
    std::map<ServiceId, Service> m_services;
    /// When a service was last suspected or found to be cut off.
    TimePoint m_suspectedAt = TimePoint::min();
    RandomEngine m_random;
};

} // namespace basilpoint
