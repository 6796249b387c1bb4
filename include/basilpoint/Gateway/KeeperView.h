#pragma once

#include "basilpoint/Gateway/StorePaths.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace basilpoint {

/// Versioned membership of the keepers whose journals count towards quorums.
///
/// A change passes through a joint view, in which quorums of both the previous and the new members are needed. Daemons
/// that know different views see each other's entries as long as their views are successive.
struct KeeperView {
    std::uint64_t version = 0;
    std::vector<RelayAddress> members;
    /// Members before the change in progress; empty if there is none.
    std::vector<RelayAddress> previous {};

    bool operator==(const KeeperView&) const = default;

    bool isJoint() const { return !previous.empty(); }
    bool contains(const std::string& instance) const;
    /// Current and previous members, without duplicates.
    std::vector<RelayAddress> all() const;

    /// Key under which the store has the view.
    static constexpr const char* key = "daemons/.keepers";
};

using InstanceNames = std::set<std::string>;

InstanceNames namesOf(const std::vector<RelayAddress>&);

/// Whether an entry that \p keepers have is on one more disk than may be lost, in each member set of the view.
bool isWriteQuorum(const KeeperView&, const InstanceNames& keepers, unsigned tolerated);

/// Whether the answers of \p keepers include each entry that a write quorum has.
bool isReadQuorum(const KeeperView&, const InstanceNames& keepers, unsigned tolerated);

/// Whether no daemon that only knows the previous members can complete reads or writes once \p keepers refuse it.
bool isSealed(const KeeperView& joint, const InstanceNames& keepers, unsigned tolerated);

/// Begins the change to \p members, or replaces the target of the change in progress. Going back to the previous members
/// ends the change.
KeeperView beginChange(const KeeperView&, std::vector<RelayAddress> members);

/// Ends the change of a joint view.
KeeperView completeChange(const KeeperView& joint);

std::string encodeView(const KeeperView&);
/// \throws DamagedRecordError
KeeperView decodeView(const std::string&);

} // namespace basilpoint
