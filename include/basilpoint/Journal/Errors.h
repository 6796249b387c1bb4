#pragma once

#include "basilpoint/Support/Error.h"

#include <cstdint>
#include <filesystem>

namespace basilpoint {

/// The journal folder can't be used: missing rights, in use by another process, or not a journal.
class JournalFolderError final : public Error {
public:
    JournalFolderError(const std::filesystem::path&, const char* operation, int systemError);
};

/// Acknowledged data of the journal is damaged or missing. The holder is lost: it must not be served from.
class JournalCorruptError final : public Error {
public:
    JournalCorruptError(const std::filesystem::path& file, std::uint64_t offset, const char* rule);
};

/// The disk has too little space left; nothing was written.
class JournalFullError final : public Error {
public:
    JournalFullError(const std::filesystem::path& folder, std::uint64_t freeBytes, std::uint64_t minFreeBytes);
};

/// A write or a sync failed. The store takes no further write: what the disk holds is unknown until it is read again.
class JournalWriteError final : public Error {
public:
    JournalWriteError(const std::filesystem::path& file, const char* operation, int systemError);
};

} // namespace basilpoint
