#pragma once

#include "basilpoint/Support/Error.h"

#include <cstdint>
#include <filesystem>

namespace basilpoint {

/// The journal folder cannot be opened, read or locked: for example without permission, or while another process uses it.
class JournalFolderError final : public Error {
public:
    JournalFolderError(const std::filesystem::path&, const char* operation, int systemError);
};

/// Acknowledged data of the journal is damaged or missing. The holder is lost and must not be used any more.
class JournalCorruptError final : public Error {
public:
    JournalCorruptError(const std::filesystem::path& file, std::uint64_t offset, const char* rule);
};

/// The disk has too little free space. Nothing was written.
class JournalFullError final : public Error {
public:
    JournalFullError(const std::filesystem::path& folder, std::uint64_t freeBytes, std::uint64_t minFreeBytes);
};

/// A write or a sync failed. The store refuses further writes, since the content of the disk is unknown until it is
/// read again.
class JournalWriteError final : public Error {
public:
    JournalWriteError(const std::filesystem::path& file, const char* operation, int systemError);
};

} // namespace basilpoint
