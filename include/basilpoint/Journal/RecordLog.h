#pragma once

#include "basilpoint/Journal/FileHooks.h"
#include "basilpoint/Support/Ids.h"

#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilpoint {

/// Location and options of a record log.
struct RecordLogSettings {
    std::filesystem::path folder;
    /// A new segment is started once the last one has this size.
    std::uint64_t segmentBytes = 64 * 1024 * 1024;
    FileHooks hooks = systemFileHooks();
    /// Whether a mark is written after each synced group, which distinguishes damage to the last group from a torn
    /// write. Each mark costs a write that is not synced. If a disk keeps later writes but loses earlier ones, the mark
    /// makes the loss look like damage.
    bool markSyncedGroups = true;
};

/// Log of byte strings in the files of one folder. The log's thread writes and syncs them in groups.
class RecordLog {
public:
    /// Called on the log's thread, with null once the record is on disk or with the error.
    using Done = std::function<void(std::exception_ptr)>;

    /// Opens or creates the folder. \throws JournalFolderError, JournalCorruptError.
    explicit RecordLog(const RecordLogSettings&);

    /// Waits until the queue is empty.
    ~RecordLog();

    /// Random id of the folder; an emptied folder gets a different one.
    const HolderId& holder() const;

    /// Calls \p replay with every record on disk, in order. Must be called once, before the first write(). Truncates a
    /// torn tail. \throws JournalCorruptError on damage before the tail.
    void load(const std::function<void(std::string_view)>& replay);

    /// Queues \p record; records are synced in groups. After a failed write or sync all later writes fail.
    void write(std::string record, Done done);

    /// As write(), for \p records that load() gives back all or not at all, wherever the process or the disk fails.
    void writeTogether(std::vector<std::string> records, Done done);

    /// Writes \p snapshot into a new segment and removes older ones once it is on disk. The snapshot must contain the
    /// effect of all earlier writes. If the disk has too little space for it, the older segments are kept.
    void compact(std::vector<std::string> snapshot, Done done);

    /// Gives the records of a snapshot one after the other, and nothing after the last. Called on the log's thread.
    using RecordSource = std::function<std::optional<std::string>()>;

    /// As above, for a snapshot of at most about \p bytes that is not held as a whole.
    void compact(RecordSource snapshot, std::uint64_t bytes, Done done);

    /// Bytes in all segments, to decide when to compact.
    std::uint64_t bytes() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace basilpoint
