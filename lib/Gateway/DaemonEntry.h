#pragma once

#include "basilpoint/Gateway/StorePaths.h"
#include "basilpoint/Net/KeyValueStore.h"

#include <optional>

namespace basilpoint {

/// Entry of a daemon in the list of daemons, which is kept in the store.
struct DaemonEntry {
    RelayAddress address;
    /// Whether its last lifetime has ended after handing its accounts over to the other daemons.
    bool hasHandedOver = false;
    /// When a lifetime of it last committed a program's changes directly, without a keeper.
    std::optional<WallTimePoint> directCommitAt {};

    bool operator==(const DaemonEntry&) const = default;

    /// Prefix of the entries' keys, followed by the instance's name.
    static constexpr const char* prefix = "daemons/";
    static std::string keyOf(const std::string& instance) { return prefix + instance; }
};

std::string encodeEntry(const DaemonEntry&);

/// \returns no entry if the item has another format.
std::optional<DaemonEntry> decodeDaemonEntry(const KeyValue&);

/// Entry of a new lifetime at \p self that replaces the entry \p before, if there is one.
/// \param isReadable false if there is an entry that could not be decoded.
DaemonEntry successorOf(const std::optional<DaemonEntry>& before, bool isReadable, RelayAddress self, WallTimePoint now);

/// Whether the entry shows a direct commit whose records may not have expired at \p now.
bool hasDirectCommit(const DaemonEntry&, WallTimePoint now);

} // namespace basilpoint
