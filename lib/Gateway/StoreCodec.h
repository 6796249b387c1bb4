#pragma once

#include "basilpoint/Net/TransactionalStore.h"
#include "basilpoint/Turns/TurnLedger.h"

namespace basilpoint {

// CBOR bodies of calls between daemons. Decoders throw KeyValueUnavailableError if the bytes are malformed.

std::string encodeTransaction(const KeyTransaction&);
KeyTransaction decodeTransaction(const std::string&);

std::string encodeResult(const KeyTransactionResult&);
KeyTransactionResult decodeResult(const std::string&);

std::string encodeSnapshot(const KeySnapshot&);
KeySnapshot decodeSnapshot(const std::string&);

/// Request to read a key or to wait for its changes.
struct StoreQuery {
    std::string key;
    bool mayBeStale = false;
    std::int64_t after = 0;
    Milliseconds wait { 0 };
};

std::string encodeQuery(const StoreQuery&);
StoreQuery decodeQuery(const std::string&);

/// Changes since a revision; an item with revision 0 was deleted.
struct StoreChanges {
    std::vector<KeyValue> items;
    std::int64_t next = 0;
};

std::string encodeChanges(const StoreChanges&);
StoreChanges decodeChanges(const std::string&);

std::string encodeAttestation(const AccountAttestation&);
AccountAttestation decodeAttestation(const std::string&);

/// Accounts that a daemon hands over to the others when it shuts down.
struct Handover {
    std::string daemon;
    std::vector<KnownAccount> accounts;
    /// Whether the daemon knows all changes that its earlier lifetimes made.
    bool knowsAllChanges = false;
};

std::string encodeHandover(const Handover&);
Handover decodeHandover(const std::string&);

/// Answer of a daemon that was asked to release a hold.
struct HoldRelease {
    DaemonLifetime daemon;
    bool isReleased = false;
};

std::string encodeRelease(const HoldRelease&);
HoldRelease decodeRelease(const std::string&);

/// Converts records of the store to the ledger's type.
std::vector<StoredRecord> recordsFrom(const std::vector<KeyValue>&);

} // namespace basilpoint
