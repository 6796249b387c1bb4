#include "File.h"

#include "basilpoint/Journal/Errors.h"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/statvfs.h>
#include <unistd.h>
#include <utility>

namespace basilpoint {

static constexpr mode_t filePermissions = 0640;
static constexpr const char* temporarySuffix = ".tmp";

static std::uint64_t systemFreeBytes(const std::filesystem::path& folder)
{
    struct statvfs status { };
    if (statvfs(folder.c_str(), &status) != 0)
        throw JournalFolderError(folder, "statvfs", errno);
    return static_cast<std::uint64_t>(status.f_bavail) * status.f_frsize;
}

FileHooks systemFileHooks()
{
    return { ::write, ::fsync, systemFreeBytes };
}

File::File(std::filesystem::path path, const FileHooks& hooks)
    : m_path(std::move(path))
    , m_hooks(&hooks)
    , m_fd(::open(m_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, filePermissions))
{
    if (m_fd < 0)
        throw JournalWriteError(m_path, "open", errno);
}

File::File(File&& other) noexcept
    : m_path(std::move(other.m_path))
    , m_hooks(other.m_hooks)
    , m_fd(std::exchange(other.m_fd, -1))
{
}

File& File::operator=(File&& other) noexcept
{
    std::swap(m_path, other.m_path);
    std::swap(m_hooks, other.m_hooks);
    std::swap(m_fd, other.m_fd);
    return *this;
}

File::~File()
{
    if (m_fd >= 0)
        ::close(m_fd);
}

void File::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        ssize_t n = m_hooks->write(m_fd, bytes.data(), bytes.size());
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            throw JournalWriteError(m_path, "write", n < 0 ? errno : EIO);
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
}

void File::sync()
{
    if (m_hooks->sync(m_fd) != 0)
        throw JournalWriteError(m_path, "fsync", errno);
}

void File::truncate(std::uint64_t size)
{
    if (::ftruncate(m_fd, static_cast<off_t>(size)) != 0)
        throw JournalWriteError(m_path, "truncate", errno);
}

void syncFolder(const std::filesystem::path& folder, const FileHooks& hooks)
{
    int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0)
        throw JournalWriteError(folder, "open", errno);
    int failed = hooks.sync(fd);
    int reason = errno;
    ::close(fd);
    if (failed != 0)
        throw JournalWriteError(folder, "fsync", reason);
}

void writeWholeFile(const std::filesystem::path& path, const std::function<void(File&)>& write, const FileHooks& hooks)
{
    std::filesystem::path temporaryPath = path;
    temporaryPath += temporarySuffix;
    {
        File file(temporaryPath, hooks);
        file.truncate(0);
        write(file);
        file.sync();
    }
    if (::rename(temporaryPath.c_str(), path.c_str()) != 0)
        throw JournalWriteError(path, "rename", errno);
    syncFolder(path.parent_path(), hooks);
}

std::string readFile(const std::filesystem::path& path, std::size_t maxBytes)
{
    std::ifstream file(path, std::ios::binary | std::ios::ate);
    if (!file)
        throw JournalFolderError(path, "open", errno);
    std::string bytes(std::min(static_cast<std::size_t>(file.tellg()), maxBytes), '\0');
    file.seekg(0);
    if (!file.read(bytes.data(), static_cast<std::streamsize>(bytes.size())))
        throw JournalFolderError(path, "read", errno);
    return bytes;
}

FileReader::FileReader(std::filesystem::path path)
    : m_path(std::move(path))
    , m_file(m_path, std::ios::binary)
{
    if (!m_file)
        throw JournalFolderError(m_path, "open", errno);
}

std::string FileReader::read(std::uint64_t offset, std::size_t size)
{
    std::string bytes(size, '\0');
    m_file.clear();
    m_file.seekg(static_cast<std::streamoff>(offset));
    m_file.read(bytes.data(), static_cast<std::streamsize>(size));
    if (m_file.bad())
        throw JournalFolderError(m_path, "read", errno);
    bytes.resize(static_cast<std::size_t>(m_file.gcount()));
    return bytes;
}

FolderLock::FolderLock(const std::filesystem::path& folder)
    : m_fd(::open((folder / "lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, filePermissions))
{
    if (m_fd < 0)
        throw JournalFolderError(folder, "open", errno);
    if (::flock(m_fd, LOCK_EX | LOCK_NB) != 0) {
        int reason = errno;
        ::close(m_fd);
        throw JournalFolderError(folder, "lock", reason);
    }
}

FolderLock::~FolderLock()
{
    ::close(m_fd);
}

} // namespace basilpoint
