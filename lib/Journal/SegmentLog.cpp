#include "SegmentLog.h"

#include "basilpoint/Journal/Errors.h"
#include "basilpoint/Support/Random.h"

#include <charconv>
#include <fmt/format.h>
#include <numeric>
#include <random>

namespace basilpoint {

static constexpr std::string_view segmentPrefix = "segment-";
static constexpr std::string_view segmentSuffix = ".log";
static constexpr std::uint64_t firstSegment = 1;
// Bounds the memory that writing and reading a snapshot take.
static constexpr std::size_t maxSnapshotFrameBytes = 1024 * 1024;

static HolderId randomHolderId()
{
    std::random_device device;
    std::seed_seq seed { device(), device(), device(), device() };
    RandomEngine random(seed);
    return HolderId(randomHex(random, holderIdDigits));
}

static std::optional<std::uint64_t> segmentNumber(const std::filesystem::path& path)
{
    std::string name = path.filename().string();
    if (!name.starts_with(segmentPrefix) || !name.ends_with(segmentSuffix))
        return std::nullopt;
    std::uint64_t number = 0;
    const char* begin = name.data() + segmentPrefix.size();
    const char* end = name.data() + name.size() - segmentSuffix.size();
    auto [it, ec] = std::from_chars(begin, end, number);
    if (ec != std::errc() || it != end)
        return std::nullopt;
    return number;
}

// Removes a segment left from a crash before its rename, which was never part of the log.
static void removeTemporary(const std::filesystem::path& path)
{
    if (path.filename().string().starts_with(segmentPrefix) && path.extension() == ".tmp")
        std::filesystem::remove(path);
}

SegmentLog::SegmentLog(SegmentLogSettings settings)
    : m_settings(std::move(settings))
{
    createFolder();
    m_lock = std::make_unique<FolderLock>(m_settings.folder);
    for (const auto& entry : std::filesystem::directory_iterator(m_settings.folder)) {
        removeTemporary(entry.path());
        if (auto number = segmentNumber(entry.path()))
            m_segments[*number] = entry.file_size();
    }
    if (m_segments.empty()) {
        m_header.holder = randomHolderId();
        createSegment(firstSegment, firstSegment, nullptr);
    }
    readHeaders();
}

void SegmentLog::createFolder()
{
    std::error_code ec;
    std::filesystem::create_directories(m_settings.folder, ec);
    if (ec)
        throw JournalFolderError(m_settings.folder, "create", ec.value());
}

std::filesystem::path SegmentLog::segmentPath(std::uint64_t number) const
{
    return m_settings.folder / fmt::format("{}{:020}{}", segmentPrefix, number, segmentSuffix);
}

// A segment gets its name only after its header was synced, so that an invalid header means damage and no torn write.
void SegmentLog::readHeaders()
{
    std::uint64_t last = m_segments.rbegin()->first;
    std::uint64_t expected = last;
    for (auto it = m_segments.rbegin(); it != m_segments.rend() && expected >= std::max(m_header.base, firstSegment); ++it, --expected) {
        std::filesystem::path path = segmentPath(expected);
        if (it->first != expected)
            throw JournalCorruptError(path, 0, "a segment is missing");
        auto header = decodeSegmentHeader(readFile(path, segmentHeaderBytes));
        if (!header || header->number != expected)
            throw JournalCorruptError(path, 0, "a segment begins with its header");
        if (expected == last)
            m_header = *header;
        if (header->base != m_header.base || header->holder != m_header.holder)
            throw JournalCorruptError(path, 0, "segments belong to one log");
    }
    if (expected + 1 != m_header.base)
        throw JournalCorruptError(segmentPath(expected), 0, "a segment is missing");
    removeSegmentsBefore(m_header.base);
}

void SegmentLog::removeSegmentsBefore(std::uint64_t number)
{
    while (m_segments.begin()->first < number) {
        std::filesystem::remove(segmentPath(m_segments.begin()->first));
        m_segments.erase(m_segments.begin());
    }
    m_bytes = std::accumulate(m_segments.begin(), m_segments.end(), std::uint64_t(0), [](std::uint64_t sum, const auto& it) { return sum + it.second; });
}

void SegmentLog::createSegment(std::uint64_t number, std::uint64_t base, const RecordSource& snapshot)
{
    m_header.number = number;
    m_header.base = base;
    std::uint64_t size = segmentHeaderBytes;
    auto write = [&](File& file) {
        file.write(encodeSegmentHeader(m_header));
        if (snapshot)
            size = writeSnapshot(file, snapshot);
    };
    writeWholeFile(segmentPath(number), write, m_settings.hooks);
    m_segments[number] = size;
    m_bytes += size;
    m_file = File(segmentPath(number), m_settings.hooks);
}

// Writes the records in frames, and a mark after them. \returns the size of the segment.
std::uint64_t SegmentLog::writeSnapshot(File& file, const RecordSource& snapshot) const
{
    std::uint64_t size = segmentHeaderBytes;
    std::vector<std::string> group;
    std::size_t groupBytes = 0;
    auto writeGroup = [&] {
        std::string frame = encodeFrame(m_header.number, size, group);
        file.write(frame);
        size += frame.size();
        group.clear();
        groupBytes = 0;
    };
    while (auto record = snapshot()) {
        groupBytes += record->size();
        group.push_back(std::move(*record));
        if (groupBytes >= maxSnapshotFrameBytes)
            writeGroup();
    }
    if (!group.empty())
        writeGroup();
    writeGroup();
    return size;
}

// Returns the offset after the last valid group. Holds one group at a time.
std::uint64_t SegmentLog::readSegment(std::uint64_t number, const std::function<void(std::string_view)>& replay) const
{
    FileReader file(segmentPath(number));
    std::uint64_t end = m_segments.at(number);
    std::uint64_t offset = segmentHeaderBytes;
    while (offset < end) {
        auto size = frameSize(file.read(offset, frameHeaderBytes));
        if (!size || *size > end - offset)
            break;
        std::string bytes = file.read(offset, *size);
        auto frame = decodeFrame(number, bytes, offset, offset);
        if (!frame)
            break;
        for (std::string_view record : frame->records)
            replay(record);
        offset = frame->end;
    }
    // A group is written only after the previous one was synced. A valid frame after an invalid one therefore shows that
    // the invalid one was on disk and has been damaged. Otherwise it is a torn write that was never acknowledged.
    bool torn = offset == end || (number == m_header.number && !hasFrameAtOrAfter(number, readFile(segmentPath(number)), offset));
    if (!torn)
        throw JournalCorruptError(segmentPath(number), offset, "a group has its checksum");
    return offset;
}

void SegmentLog::load(const std::function<void(std::string_view)>& replay)
{
    std::uint64_t end = 0;
    for (const auto& [number, size] : m_segments)
        end = readSegment(number, replay);
    std::uint64_t& lastSize = m_segments[m_header.number];
    m_file = File(segmentPath(m_header.number), m_settings.hooks);
    if (end < lastSize) {
        m_file.truncate(end);
        m_file.sync();
        m_bytes -= lastSize - end;
        lastSize = end;
    }
}

void SegmentLog::writeFrame(const std::vector<std::string>& records)
{
    std::uint64_t& size = m_segments[m_header.number];
    std::string frame = encodeFrame(m_header.number, size, records);
    m_file.write(frame);
    size += frame.size();
    m_bytes += frame.size();
}

void SegmentLog::append(const std::vector<std::string>& records)
{
    if (m_segments[m_header.number] >= m_settings.segmentBytes)
        startNextSegment();
    writeFrame(records);
    m_file.sync();
}

void SegmentLog::markSynced()
{
    writeFrame({});
}

void SegmentLog::startNextSegment()
{
    // Sync the last mark, since a torn tail is accepted in the last segment only.
    m_file.sync();
    createSegment(m_header.number + 1, m_header.base, nullptr);
}

void SegmentLog::compact(const RecordSource& snapshot, std::uint64_t bytes)
{
    std::uint64_t needed = 2 * segmentHeaderBytes + bytes;
    std::uint64_t free = m_settings.hooks.freeBytes(m_settings.folder);
    if (free < needed)
        throw JournalFullError(m_settings.folder, free, needed);
    createSegment(m_header.number + 1, m_header.number + 1, snapshot);
    removeSegmentsBefore(m_header.base);
    syncFolder(m_settings.folder, m_settings.hooks);
}

void SegmentLog::compact(const std::vector<std::string>& snapshot)
{
    // Upper bound: a frame header and the length of a record take less space than a segment header.
    std::uint64_t bytes = 0;
    for (const std::string& record : snapshot)
        bytes += record.size() + segmentHeaderBytes;
    auto next = snapshot.begin();
    compact([&] { return next == snapshot.end() ? std::nullopt : std::optional(*next++); }, bytes);
}

} // namespace basilpoint
