#pragma once

#include "basilpoint/Journal/FileHooks.h"
#include "basilpoint/Shard/JournalHolder.h"

#include <filesystem>
#include <functional>
#include <memory>

namespace basilpoint {

/// Location and limits of a journal folder.
struct JournalStoreSettings {
    std::filesystem::path folder;
    /// A new segment is started once the last one has this size.
    std::uint64_t segmentBytes = 64 * 1024 * 1024;
    /// ensureSpace() throws while the disk has less than this free.
    std::uint64_t minFreeBytes = 256 * 1024 * 1024;
    FileHooks hooks = systemFileHooks();
};

/// Persistent journal of one holder, in the files of one folder.
///
/// Operations of all shards share segments. The store's thread writes and syncs them in groups. Each folder has a
/// random id, which is the holder's id, so that an emptied folder becomes a different holder.
class JournalStore {
public:
    /// Called on the store's thread, with null once the operation is on disk or with the error.
    using Done = std::function<void(std::exception_ptr)>;

    /// Opens or creates the folder. \throws JournalFolderError, JournalCorruptError.
    explicit JournalStore(const JournalStoreSettings&);

    /// Waits until the queue is empty.
    ~JournalStore();

    const HolderId& holder() const;

    /// Calls \p replay with every operation on disk, in order. Must be called once, before the first write(). Truncates
    /// a torn tail. \throws JournalCorruptError on damage before the tail, InvalidInputError on an operation that this
    /// version cannot decode.
    void load(const std::function<void(const StorageOp&)>& replay);

    /// Call before a request changes the holder's state, which would be ahead of the disk if the write were refused
    /// later. \throws JournalFullError.
    void ensureSpace() const;

    /// Queues \p op; operations are synced in groups. After a failed write or sync all later writes fail.
    void write(const StorageOp& op, Done done);

    /// Writes \p snapshot into a new segment and removes older ones once it is on disk. The snapshot must contain the
    /// effect of all earlier writes. If the disk has too little space for it, the older segments are kept.
    void compact(const std::vector<StorageOp>& snapshot, Done done);

    /// Bytes in all segments, to decide when to compact.
    std::uint64_t bytes() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace basilpoint
