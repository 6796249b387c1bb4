#pragma once

#include "basilpoint/Forwarding/TargetSelector.h"
#include "basilpoint/Gateway/StorePaths.h"

#include <set>

namespace basilpoint {

/// Chooses the gateway through which to send a call whose targets this one cannot reach.
///
/// Of many gateways, each one uses a few of its own, which a hash chooses, so that the load is spread and few connections are
/// needed. Among these the one with the fewest calls of this gateway comes first, in the same data centre if possible.
class RelaySelector {
public:
    RelaySelector(std::string self, DataCentreId, RandomEngine::result_type seed);

    void setGateways(const std::vector<RelayAddress>&);
    /// Records whether another gateway is cut off from all targets itself.
    void setCutOff(const std::string& instance, bool isCutOff);
    /// Records that another gateway shuts down. It is chosen last for \ref leavingTime, by which it has ended.
    void setLeaving(const std::string& instance, TimePoint now);
    const std::set<std::string>& cutOff() const { return m_cutOff; }

    /// \param tried gateways that have not taken the call. \returns no gateway if none is likely to take it.
    std::optional<RelayAddress> choose(const std::set<TargetId>& tried, TimePoint now);
    /// Whether choose() may find a gateway for a call that none has been asked to take.
    bool hasUsable(TimePoint now) const;

    void sent(const RelayAddress&);
    void ended(const RelayAddress&, TargetOutcome, TimePoint now);

    /// Number of gateways among which one call chooses.
    static constexpr std::size_t maxChoices = 8;
    static constexpr std::chrono::seconds leavingTime { 10 };

private:
    bool isLeaving(const std::string& instance, TimePoint now) const;
    std::vector<const Registration*> usable(const std::set<TargetId>& tried, bool areLeaving, TimePoint now) const;

    std::string m_self;
    DataCentreId m_dataCentre;
    /// In the order of their hashes.
    std::vector<Registration> m_gateways;
    std::set<std::string> m_cutOff;
    std::map<std::string, TimePoint> m_leavingSince;
    TargetSelector m_selector;
};

} // namespace basilpoint
