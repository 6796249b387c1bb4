#include "basilpoint/Journal/Errors.h"

#include <system_error>

namespace basilpoint {

static std::string errorText(int systemError)
{
    return std::generic_category().message(systemError);
}

JournalFolderError::JournalFolderError(const std::filesystem::path& folder, const char* operation, int systemError)
    : Error({ "journal-folder", 500, Executed::No }, { { "folder", folder.string() }, { "operation", operation }, { "reason", errorText(systemError) } })
{
}

JournalCorruptError::JournalCorruptError(const std::filesystem::path& file, std::uint64_t offset, const char* rule)
    : Error({ "journal-corrupt", 500, Executed::No }, { { "file", file.string() }, { "offset", std::to_string(offset) }, { "rule", rule } })
{
}

JournalFullError::JournalFullError(const std::filesystem::path& folder, std::uint64_t freeBytes, std::uint64_t minFreeBytes)
    : Error({ "journal-full", 507, Executed::No }, { { "folder", folder.string() }, { "freeBytes", std::to_string(freeBytes) }, { "minFreeBytes", std::to_string(minFreeBytes) } })
{
}

JournalWriteError::JournalWriteError(const std::filesystem::path& file, const char* operation, int systemError)
    : Error({ "journal-write", 500, Executed::Unknown }, { { "file", file.string() }, { "operation", operation }, { "reason", errorText(systemError) } })
{
}

} // namespace basilpoint
