#pragma once

#include "basilpoint/Fleet/ConfigurationGossip.h"

#include <array>

namespace basilpoint {

/// Environments in force, with hashes by which two daemons find the differences between them.
class RevisionTable {
public:
    static constexpr std::size_t bucketCount = 256;

    /// Puts \p stored into force if its revision is higher than the current one. \returns whether it was.
    bool applyIfNewer(const EnvironmentId&, const StoredEnvironment& stored);

    /// Revision in force; zero if the environment is not known.
    Revision revision(const EnvironmentId&) const;

    /// Revisions of the environments in one bucket.
    std::map<EnvironmentId, Revision> revisions(EnvironmentBucket) const;

    const std::map<EnvironmentId, StoredEnvironment>& documents() const { return m_documents; }
    const std::array<std::uint64_t, bucketCount>& bucketHashes() const { return m_hashes; }
    std::uint64_t summary() const { return m_summary; }

    static EnvironmentBucket bucketOf(const EnvironmentId&);

private:
    std::map<EnvironmentId, StoredEnvironment> m_documents;
    std::array<std::map<EnvironmentId, Revision>, bucketCount> m_buckets;
    std::array<std::uint64_t, bucketCount> m_hashes {};
    std::uint64_t m_summary = 0;
};

} // namespace basilpoint
