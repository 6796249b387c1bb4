#pragma once

#include "KeeperMembership.h"

#include "basilpoint/Turns/TurnJournal.h"

namespace basilpoint {

// CBOR bodies of calls to keepers. Decoders throw DamagedRecordError.

/// A call that needs a quorum of the view's keepers.
struct KeeperRequest {
    KeeperView view;
    std::string body;
};

/// Answer of a keeper; \ref body is valid only if the keeper knows no newer view.
struct KeeperAnswer {
    std::optional<KeeperView> newerView;
    std::string body;
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

std::string encodeReport(const KeeperReport&);
KeeperReport decodeReport(const std::string&);

std::string encodeEntries(const std::vector<JournalEntry>&);
std::vector<JournalEntry> decodeEntries(const std::string&);

std::string encodePrograms(const std::set<ProgramId>&);
std::set<ProgramId> decodePrograms(const std::string&);

} // namespace basilpoint
