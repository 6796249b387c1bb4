#pragma once

#include "basilpoint/Gateway/StorePaths.h"
#include "basilpoint/Net/KeyValueStore.h"

#include <optional>

namespace basilpoint {

/// A daemon's entry in the list of daemons in the store.
struct DaemonEntry {
    RelayAddress address;
    /// Its last lifetime told the others all that it knew, and ended.
    bool hasHandedOver = false;
    /// When a lifetime of it last changed a program past the keepers.
    std::optional<WallTimePoint> directCommitAt {};

    bool operator==(const DaemonEntry&) const = default;

    /// Prefix of the entries' keys; the instance's name follows.
    static constexpr const char* prefix = "daemons/";
    static std::string keyOf(const std::string& instance) { return prefix + instance; }
};

std::string encodeEntry(const DaemonEntry&);

/// Empty if the item is of another shape.
std::optional<DaemonEntry> decodeDaemonEntry(const KeyValue&);

/// What a new lifetime at \p self takes over from the entry \p before, if there is one.
/// \param isReadable whether \p before could be read, if there is one.
DaemonEntry successorOf(const std::optional<DaemonEntry>& before, bool isReadable, RelayAddress self, WallTimePoint now);

/// Whether the entry shows a change past the keepers that still matters at \p now.
bool hasDirectCommit(const DaemonEntry&, WallTimePoint now);

} // namespace basilpoint
