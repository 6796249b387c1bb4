#pragma once

#include "KeeperMembership.h"

#include "basilpoint/Turns/TurnJournal.h"

namespace basilpoint {

// CBOR bodies of calls to keepers. Decoders throw DamagedRecordError.

/// A call that needs a quorum of keepers.
struct KeeperRequest {
    /// Version of the caller's view.
    std::uint64_t version = 0;
    /// The caller's view, for keepers that do not know it.
    std::optional<KeeperView> view;
    std::string body;
};

/// Answer of a keeper; \ref body is valid only if the keeper knows the same view as the caller.
struct KeeperAnswer {
    std::optional<KeeperView> newerView;
    /// The keeper does not know the caller's view yet.
    bool needsView = false;
    std::string body;
};

/// Periodic call of a keeper to another one.
struct KeeperProbe {
    /// Version of the caller's view; a newer one is returned.
    std::uint64_t version = 0;
    /// The caller's address, if it is no member and could join.
    std::optional<RelayAddress> candidate;
};

/// All entries of a journal.
struct JournalContents {
    bool isSynchronized = false;
    /// Id of the journal's folder; an emptied folder gets a different one.
    std::string folder;
    std::vector<JournalEntry> entries;
};

/// Entries for a member of a view whose change is being completed.
struct JournalTransfer {
    std::uint64_t version = 0;
    /// Folder of the journal that the entries complete; any if empty.
    std::string folder;
    std::vector<JournalEntry> entries;
    /// Whether the member has all entries now.
    bool isLast = false;
};

std::string encodeRequest(const KeeperRequest&);
KeeperRequest decodeRequest(const std::string&);

std::string encodeAnswer(const KeeperAnswer&);
KeeperAnswer decodeAnswer(const std::string&);

std::string encodeContents(const JournalContents&);
JournalContents decodeContents(const std::string&);

std::string encodeTransfer(const JournalTransfer&);
JournalTransfer decodeTransfer(const std::string&);

std::string encodeProbe(const KeeperProbe&);
KeeperProbe decodeProbe(const std::string&);

/// Encodes the report without the members of a view that is not newer than \p knownVersion.
std::string encodeReport(const KeeperReport&, std::uint64_t knownVersion);
KeeperReport decodeReport(const std::string&);

std::string encodeEntries(const std::vector<JournalEntry>&);
std::vector<JournalEntry> decodeEntries(const std::string&);

std::string encodePrograms(const std::set<ProgramId>&);
std::set<ProgramId> decodePrograms(const std::string&);

} // namespace basilpoint
