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
    /// Whether a lifetime of it has committed programs' changes without a keeper, and their records may not have expired.
    bool hasDirectCommit = false;
    /// Whether its running lifetime, or an earlier one whose attestations may still matter, may attest accounts.
    bool mayAttest = true;

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
DaemonEntry successorOf(const std::optional<DaemonEntry>& before, bool isReadable, RelayAddress self);

} // namespace basilpoint
