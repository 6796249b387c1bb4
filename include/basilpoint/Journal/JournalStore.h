#pragma once

#include "basilpoint/Journal/FileHooks.h"
#include "basilpoint/Shard/JournalHolder.h"

#include <filesystem>
#include <functional>
#include <memory>

namespace basilpoint {

/// How a journal folder is laid out.
struct JournalStoreSettings {
    std::filesystem::path folder;
    std::uint64_t segmentBytes = 64 * 1024 * 1024;
    /// ensureSpace() refuses while the disk has less than this left.
    std::uint64_t minFreeBytes = 256 * 1024 * 1024;
    FileHooks hooks = systemFileHooks();
};

/// Files of one holder under one folder.
///
/// Operations of all shards share segments; a thread of its own writes and syncs them in groups.
/// A folder has a random id that names the holder: an emptied folder is another holder.
class JournalStore {
public:
    /// Called on the store's thread once the operation is on disk, or with the failure.
    using Done = std::function<void(std::exception_ptr)>;

    /// Opens or creates the folder. \throws JournalFolderError, JournalCorruptError.
    explicit JournalStore(const JournalStoreSettings&);

    /// Waits for what is queued.
    ~JournalStore();

    const HolderId& holder() const;

    /// Calls \p replay with every operation on disk, in order. Once, before the first write().
    /// A torn tail is cut. \throws JournalCorruptError on a bad operation before the tail,
    /// InvalidInputError on an operation of another version.
    void load(const std::function<void(const StorageOp&)>& replay);

    /// Call before a request changes the holder's state: a write that was refused later would
    /// leave that state ahead of the disk. \throws JournalFullError.
    void ensureSpace() const;

    /// Queues \p op; several are synced together. After a failed write or sync every write fails.
    void write(const StorageOp& op, Done done);

    /// Writes \p snapshot into a new segment and drops older ones once it is on disk. It must hold
    /// the effect of all earlier writes. If the disk is too full for it, the older segments stay.
    void compact(const std::vector<StorageOp>& snapshot, Done done);

    /// Bytes in all segments; tells when to compact.
    std::uint64_t bytes() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace basilpoint
