#pragma once

#include "basilpoint/Net/PeerLink.h"

#include <filesystem>

namespace basilpoint {

/// A temporary folder that is removed with its content on destruction.
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

/// Creates a self-signed certificate, its key and, as the authority, the certificate itself.
PeerKeys makeTestKeys(const std::filesystem::path& folder, const std::string& name);

} // namespace basilpoint
