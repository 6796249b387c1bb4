#pragma once

#include "File.h"
#include "Frame.h"

#include <atomic>
#include <functional>
#include <map>

namespace basilpoint {

/// Where a log's segments are and how large they get.
struct SegmentLogSettings {
    std::filesystem::path folder;
    std::uint64_t segmentBytes = 0;
    FileHooks hooks;
};

/// Log of byte strings in segment files. Used by one thread; bytes() by any.
///
/// After any exception but JournalFullError the log must not be written to again.
class SegmentLog {
public:
    /// Creates the folder, or opens it and reads its headers.
    /// \throws JournalFolderError, JournalCorruptError, JournalWriteError.
    explicit SegmentLog(SegmentLogSettings);

    const HolderId& holder() const { return m_header.holder; }
    std::uint64_t bytes() const { return m_bytes; }

    /// Reads all operations in order and cuts a torn tail. Call it once, before the first append().
    /// \throws JournalCorruptError.
    void load(const std::function<void(std::string_view)>& replay);

    /// Returns once \p operations are on disk, as one group. \throws JournalWriteError.
    void append(const std::vector<std::string>& operations);

    /// Marks the last group as synced, so that damage to it is not taken for a torn tail.
    void markSynced();

    /// Replaces all segments by one that holds \p snapshot.
    /// \throws JournalFullError if there is no room; nothing is changed then. JournalWriteError.
    void compact(const std::vector<std::string>& snapshot);

private:
    std::filesystem::path segmentPath(std::uint64_t number) const;
    void createFolder();
    void readHeaders();
    void createSegment(std::uint64_t number, std::uint64_t base, const std::vector<std::string>& snapshot);
    void removeSegmentsBefore(std::uint64_t number);
    std::uint64_t readSegment(std::uint64_t number, const std::function<void(std::string_view)>& replay) const;
    void roll();
    void writeFrame(const std::vector<std::string>& operations);

    SegmentLogSettings m_settings;
    std::unique_ptr<FolderLock> m_lock;
    /// Header of the last segment.
    SegmentHeader m_header;
    /// Sizes by number.
    std::map<std::uint64_t, std::uint64_t> m_segments;
    File m_file;
    std::atomic<std::uint64_t> m_bytes = 0;
};

} // namespace basilpoint
