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

    /// The view with only those keepers that keep the entries of \p program: one committee of the members and one of the
    /// previous members. A committee has as many keepers as quorums need, so that the load of each keeper does not grow with
    /// the number of daemons. With no more keepers than that, it has all of them.
    KeeperView committeeOf(const ProgramId& program, unsigned tolerated) const;

    /// Whether \p instance is in a committee of the program.
    bool keeps(const std::string& instance, const ProgramId&, unsigned tolerated) const;

    /// Whether the program's entries must be given to other keepers before the change of a joint view is completed.
    bool movesEntriesOf(const ProgramId&, unsigned tolerated) const;

    /// Key under which the store has the view.
    static constexpr const char* key = "daemons/.keepers";
};

using InstanceNames = std::set<std::string>;

/// Number of keepers that quorums need. While as many as may be lost do not answer, the others still form quorums of
/// readers and writers.
constexpr std::size_t committeeSize(unsigned tolerated) { return 2 * tolerated + 1; }

InstanceNames namesOf(const std::vector<RelayAddress>&);

// The quorums of one program are those of its committees; the quorums of the whole view are valid for every program.

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
