#pragma once

#include "basilpoint/Journal/FileHooks.h"

#include <string>
#include <string_view>

namespace basilpoint {

/// Open file that closes itself. Failures throw JournalWriteError with the system's reason.
class File {
public:
    File() = default;
    /// Creates the file, or opens it to append.
    File(std::filesystem::path, const FileHooks&);
    File(File&&) noexcept;
    File& operator=(File&&) noexcept;
    ~File();

    const std::filesystem::path& path() const { return m_path; }

    void write(std::string_view bytes);
    void sync();
    void truncate(std::uint64_t size);

private:
    std::filesystem::path m_path;
    const FileHooks* m_hooks = nullptr;
    int m_fd = -1;
};

/// Makes new, renamed and removed names of \p folder last.
void syncFolder(const std::filesystem::path& folder, const FileHooks&);

/// Writes a whole file under a temporary name, syncs it, and renames it.
void writeWholeFile(const std::filesystem::path&, std::string_view bytes, const FileHooks&);

/// Reads the first \p maxBytes of a file, or all of it. \throws JournalFolderError.
std::string readFile(const std::filesystem::path&, std::size_t maxBytes = std::string::npos);

/// Lock on a folder; the system gives it up when the process ends.
class FolderLock {
public:
    /// \throws JournalFolderError if another process has it.
    explicit FolderLock(const std::filesystem::path& folder);
    ~FolderLock();
    FolderLock(const FolderLock&) = delete;
    FolderLock& operator=(const FolderLock&) = delete;

private:
    int m_fd = -1;
};

} // namespace basilpoint
