#pragma once

#include "basilpoint/Net/PeerLink.h"

#include <filesystem>

namespace basilpoint {

/// A temporary folder that is removed with its content.
class TemporaryFolder {
public:
    TemporaryFolder();
    ~TemporaryFolder();

    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    const std::filesystem::path& path() const { return m_path; }

private:
    std::filesystem::path m_path;
};

/// Makes a self-signed certificate with its key; it is its own authority.
PeerKeys makeTestKeys(const std::filesystem::path& folder, const std::string& name);

} // namespace basilpoint
