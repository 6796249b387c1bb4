#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace basilpoint {

/// Temporary folder that is removed on destruction.
class TemporaryFolder {
public:
    TemporaryFolder()
    {
        std::string path = std::filesystem::temp_directory_path() / "basilpoint-journal-XXXXXX";
        m_path = ::mkdtemp(path.data());
    }
    ~TemporaryFolder() { std::filesystem::remove_all(m_path); }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    const std::filesystem::path& path() const { return m_path; }

private:
    std::filesystem::path m_path;
};

} // namespace basilpoint
