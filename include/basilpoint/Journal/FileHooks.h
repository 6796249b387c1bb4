#pragma once

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <sys/types.h>

namespace basilpoint {

/// Calls of the system that a disk can make fail. Tests replace them.
struct FileHooks {
    /// As write(2).
    std::function<ssize_t(int fd, const void* data, std::size_t size)> write;
    /// As fsync(2).
    std::function<int(int fd)> sync;
    /// Bytes that the disk of a folder has left for this process.
    std::function<std::uint64_t(const std::filesystem::path&)> freeBytes;
};

/// Hooks that call the system.
FileHooks systemFileHooks();

} // namespace basilpoint
