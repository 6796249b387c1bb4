#include "RevisionTable.h"

#include "basilpoint/Support/Hash.h"

namespace basilpoint {

static std::uint64_t entryHash(const EnvironmentId& id, Revision revision)
{
    return hash64(id.text(), revision.value());
}

EnvironmentBucket RevisionTable::bucketOf(const EnvironmentId& id)
{
    return static_cast<EnvironmentBucket>(hash64(id.text()) % bucketCount);
}

bool RevisionTable::applyIfNewer(const EnvironmentId& id, const StoredEnvironment& stored)
{
    Revision before = revision(id);
    if (stored.revision <= before)
        return false;
    EnvironmentBucket bucket = bucketOf(id);
    std::uint64_t change = entryHash(id, stored.revision);
    if (before != Revision())
        change ^= entryHash(id, before);
    m_hashes[bucket] ^= change;
    m_summary ^= change;
    m_buckets[bucket][id] = stored.revision;
    m_documents[id] = stored;
    return true;
}

Revision RevisionTable::revision(const EnvironmentId& id) const
{
    auto it = m_documents.find(id);
    return it == m_documents.end() ? Revision() : it->second.revision;
}

std::map<EnvironmentId, Revision> RevisionTable::revisions(EnvironmentBucket bucket) const
{
    return m_buckets[bucket];
}

} // namespace basilpoint
