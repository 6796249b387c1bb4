#include "basilpoint/Journal/JournalStore.h"

#include "basilpoint/Journal/Errors.h"
#include "basilpoint/Journal/RecordLog.h"

namespace basilpoint {

struct JournalStore::Impl {
    explicit Impl(const JournalStoreSettings& storeSettings)
        : settings(storeSettings)
        , log({ settings.folder, settings.segmentBytes, settings.hooks })
    {
    }

    JournalStoreSettings settings;
    RecordLog log;
};

JournalStore::JournalStore(const JournalStoreSettings& settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

JournalStore::~JournalStore() = default;

const HolderId& JournalStore::holder() const
{
    return m_impl->log.holder();
}

void JournalStore::load(const std::function<void(const StorageOp&)>& replay)
{
    m_impl->log.load([&](std::string_view bytes) { replay(decodeStorageOp(bytes)); });
}

void JournalStore::ensureSpace() const
{
    const JournalStoreSettings& settings = m_impl->settings;
    std::uint64_t free = settings.hooks.freeBytes(settings.folder);
    if (free < settings.minFreeBytes)
        throw JournalFullError(settings.folder, free, settings.minFreeBytes);
}

void JournalStore::write(const StorageOp& op, Done done)
{
    m_impl->log.write(encodeStorageOp(op), std::move(done));
}

void JournalStore::compact(const std::vector<StorageOp>& snapshot, Done done)
{
    std::vector<std::string> records;
    records.reserve(snapshot.size());
    for (const StorageOp& op : snapshot)
        records.push_back(encodeStorageOp(op));
    m_impl->log.compact(std::move(records), std::move(done));
}

std::uint64_t JournalStore::bytes() const
{
    return m_impl->log.bytes();
}

} // namespace basilpoint
