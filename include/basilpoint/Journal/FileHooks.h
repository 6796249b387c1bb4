#pragma once

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <sys/types.h>

namespace basilpoint {

/// System calls that can fail because of the disk. Tests replace them.
struct FileHooks {
    /// Same contract as write(2).
    std::function<ssize_t(int fd, const void* data, std::size_t size)> write;
    /// Same contract as fsync(2).
    std::function<int(int fd)> sync;
    /// Free bytes that the file system of a folder has for this process.
    std::function<std::uint64_t(const std::filesystem::path&)> freeBytes;
};

/// Hooks that call the operating system.
FileHooks systemFileHooks();

} // namespace basilpoint
