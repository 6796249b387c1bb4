#pragma once

#include "basilpoint/Forwarding/Configuration.h"
#include "basilpoint/Support/Clock.h"

#include <map>
#include <string>
#include <vector>

namespace basilpoint {

/// Rate at which rights to requests arise, and how many may accumulate.
struct AllowanceShare {
    double perSecond = 0;
    double burst = 0;

    bool isEmpty() const { return perSecond <= 0; }
    bool operator==(const AllowanceShare&) const = default;
};

/// Divides the allowances of organisations among the gateways. See LimitDivision.
///
/// A gateway that is added to the list counts at once; one that is removed counts for \ref removalDelay longer, so that the
/// others do not use its share while it does not know yet that it was removed.
class AllowanceRights {
public:
    explicit AllowanceRights(std::string self);

    /// Sets the names of all gateways. \returns whether the division changed.
    bool setGateways(const std::vector<std::string>&, TimePoint now);
    /// Drops gateways that were removed long ago. \returns whether the division changed.
    bool update(TimePoint now);

    /// Gateways among which allowances are divided, in order of their names.
    const std::vector<std::string>& gateways() const { return m_gateways; }
    /// Increases with each change of gateways().
    std::uint64_t version() const { return m_version; }

    static std::size_t sharerCount(const Organisation&, std::size_t gateways);
    /// Share of each sharer.
    AllowanceShare shareOfOne(const Organisation&) const;
    /// Share of this gateway; empty if it has none.
    AllowanceShare ownShare(const Organisation&) const;
    /// For each of gateways(), whether it has a share.
    std::vector<bool> sharers(const Organisation&) const;

    /// Longer than a delegation, and than an instance's list takes to arrive.
    static constexpr std::chrono::seconds removalDelay { 7 };

private:
    bool rebuild();

    std::string m_self;
    /// End of each gateway that was removed; TimePoint::max() for the listed ones.
    std::map<std::string, TimePoint> m_ends;
    std::vector<std::string> m_gateways;
    std::uint64_t m_version = 0;
};

} // namespace basilpoint
