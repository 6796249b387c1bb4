#pragma once

#include "File.h"
#include "Frame.h"

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace basilpoint {

/// Location and size of a log's segments.
struct SegmentLogSettings {
    std::filesystem::path folder;
    /// A new segment is started once the last one has this size.
    std::uint64_t segmentBytes = 0;
    FileHooks hooks;
};

/// Log of byte strings in segment files. Not thread-safe, except for bytes().
///
/// After any exception other than JournalFullError the log must not be written to again.
class SegmentLog {
public:
    /// Creates the folder if needed, locks it, and reads the headers of its segments.
    /// \throws JournalFolderError, JournalCorruptError, JournalWriteError.
    explicit SegmentLog(SegmentLogSettings);

    const HolderId& holder() const { return m_header.holder; }
    std::uint64_t bytes() const { return m_bytes; }

    /// Reads all records in order and truncates a torn tail. Must be called once, before the first append().
    /// \throws JournalCorruptError.
    void load(const std::function<void(std::string_view)>& replay);

    /// Writes and syncs \p records as one group. \throws JournalWriteError.
    void append(const std::vector<std::string>& records);

    /// Marks the last group as synced, so that damage to it is not mistaken for a torn tail. Does not sync the mark.
    void markSynced();

    /// Gives the records of a snapshot one after the other, and nothing after the last.
    using RecordSource = std::function<std::optional<std::string>()>;

    /// Replaces all segments by one that contains the records of \p snapshot, of at most about \p bytes together.
    /// \throws JournalFullError if there is too little space, in which case nothing is changed; JournalWriteError.
    void compact(const RecordSource& snapshot, std::uint64_t bytes);
    void compact(const std::vector<std::string>& snapshot);

private:
    std::filesystem::path segmentPath(std::uint64_t number) const;
    void createFolder();
    void readHeaders();
    /// \param snapshot records that the segment begins with; none if null.
    void createSegment(std::uint64_t number, std::uint64_t base, const RecordSource& snapshot);
    std::uint64_t writeSnapshot(File&, const RecordSource& snapshot) const;
    void removeSegmentsBefore(std::uint64_t number);
    std::uint64_t readSegment(std::uint64_t number, const std::function<void(std::string_view)>& replay) const;
    void startNextSegment();
    void writeFrame(const std::vector<std::string>& records);

    SegmentLogSettings m_settings;
    std::unique_ptr<FolderLock> m_lock;
    /// Header of the last segment.
    SegmentHeader m_header;
    /// Sizes of the segments in bytes, by number.
    std::map<std::uint64_t, std::uint64_t> m_segments;
    File m_file;
    std::atomic<std::uint64_t> m_bytes = 0;
};

} // namespace basilpoint
