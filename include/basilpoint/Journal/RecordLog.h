#pragma once

#include "basilpoint/Journal/FileHooks.h"
#include "basilpoint/Support/Ids.h"

#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace basilpoint {

/// How a record log is laid out.
struct RecordLogSettings {
    std::filesystem::path folder;
    std::uint64_t segmentBytes = 64 * 1024 * 1024;
    FileHooks hooks = systemFileHooks();
    /// Whether damage to the last synced group is told apart from a torn write. It costs a write that is not
    /// synced; a disk that keeps later writes and loses earlier ones makes such a mark look like damage.
    bool markSyncedGroups = true;
};

/// Log of byte strings in the files of one folder; a thread of its own writes and syncs them in groups.
class RecordLog {
public:
    /// Called on the log's thread once the record is on disk, or with the failure.
    using Done = std::function<void(std::exception_ptr)>;

    /// Opens or creates the folder. \throws JournalFolderError, JournalCorruptError.
    explicit RecordLog(const RecordLogSettings&);

    /// Waits for what is queued.
    ~RecordLog();

    /// Id of the folder; an emptied folder has another one.
    const HolderId& holder() const;

    /// Calls \p replay with every record on disk, in order. Once, before the first write(). A torn tail is cut.
    /// \throws JournalCorruptError on a bad record before the tail.
    void load(const std::function<void(std::string_view)>& replay);

    /// Queues \p record; several are synced together. After a failed write or sync every write fails.
    void write(std::string record, Done done);

    /// Writes \p snapshot into a new segment and drops older ones once it is on disk. It must hold the
    /// effect of all earlier writes. If the disk is too full for it, the older segments stay.
    void compact(std::vector<std::string> snapshot, Done done);

    /// Bytes in all segments; tells when to compact.
    std::uint64_t bytes() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace basilpoint
