#pragma once

#include "basilpoint/Journal/FileHooks.h"

#include <fstream>
#include <functional>
#include <string>
#include <string_view>

namespace basilpoint {

/// RAII file handle. Operations that fail throw JournalWriteError with the system's error message.
class File {
public:
    File() = default;
    /// Opens the file for appending; creates it if it does not exist.
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

/// Syncs the directory, so that created, renamed and removed files in \p folder are durable.
void syncFolder(const std::filesystem::path& folder, const FileHooks&);

/// Replaces a file atomically: lets \p write fill it under a temporary name, syncs it and renames it.
void writeWholeFile(const std::filesystem::path&, const std::function<void(File&)>& write, const FileHooks&);

/// Reads at most the first \p maxBytes of a file. \throws JournalFolderError.
std::string readFile(const std::filesystem::path&, std::size_t maxBytes = std::string::npos);

/// Reads a file from its start on, in parts.
class FileReader {
public:
    /// \throws JournalFolderError.
    explicit FileReader(std::filesystem::path);

    /// Reads \p size bytes at \p offset, or those that there are. \throws JournalFolderError.
    std::string read(std::uint64_t offset, std::size_t size);

private:
    std::filesystem::path m_path;
    std::ifstream m_file;
};

/// Exclusive lock on a folder. The operating system releases it when the process ends.
class FolderLock {
public:
    /// \throws JournalFolderError if another process has locked the folder.
    explicit FolderLock(const std::filesystem::path& folder);
    ~FolderLock();
    FolderLock(const FolderLock&) = delete;
    FolderLock& operator=(const FolderLock&) = delete;

private:
    int m_fd = -1;
};

} // namespace basilpoint
