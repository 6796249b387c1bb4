#pragma once

#include "basilpoint/Net/TransactionalStore.h"
#include "basilpoint/Turns/TurnLedger.h"

namespace basilpoint {

// Bodies of calls between daemons, in CBOR. All decoders throw KeyValueUnavailableError on other bytes.

std::string encodeTransaction(const KeyTransaction&);
KeyTransaction decodeTransaction(const std::string&);

std::string encodeResult(const KeyTransactionResult&);
KeyTransactionResult decodeResult(const std::string&);

std::string encodeSnapshot(const KeySnapshot&);
KeySnapshot decodeSnapshot(const std::string&);

/// A read or a wait for changes.
struct StoreQuery {
    std::string key;
    bool mayBeStale = false;
    std::int64_t after = 0;
    Milliseconds wait { 0 };
};

std::string encodeQuery(const StoreQuery&);
StoreQuery decodeQuery(const std::string&);

/// Changes since a revision; an item with revision 0 was removed.
struct StoreChanges {
    std::vector<KeyValue> items;
    std::int64_t next = 0;
};

std::string encodeChanges(const StoreChanges&);
StoreChanges decodeChanges(const std::string&);

std::string encodeAttestation(const AccountAttestation&);
AccountAttestation decodeAttestation(const std::string&);

/// What a daemon that stops as planned tells the others.
struct Handover {
    std::string daemon;
    std::vector<KnownAccount> accounts;
    /// No earlier lifetime of the daemon has changed what this one does not know.
    bool knowsAllChanges = false;
};

std::string encodeHandover(const Handover&);
Handover decodeHandover(const std::string&);

/// Answer of a daemon that was asked to give back a hold.
struct HoldRelease {
    DaemonLifetime daemon;
    bool isReleased = false;
};

std::string encodeRelease(const HoldRelease&);
HoldRelease decodeRelease(const std::string&);

/// The ledger's form of the store's records.
std::vector<StoredRecord> recordsFrom(const std::vector<KeyValue>&);

} // namespace basilpoint
