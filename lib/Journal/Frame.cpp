#include "Frame.h"

#include "basilpoint/Support/Hash.h"

namespace basilpoint {

// Frame format: magic, payload length, checksum, payload. The payload is a sequence of records, each after its length.
// Integers are little-endian.
static constexpr std::string_view headerMagic = "BPJRNL01";
static constexpr std::string_view frameMagic = "BPFR";
static constexpr std::size_t lengthBytes = 4;
static constexpr std::size_t integerBytes = 8;
static_assert(frameHeaderBytes == frameMagic.size() + lengthBytes + integerBytes);

static void appendInteger(std::string& buf, std::uint64_t value, std::size_t width)
{
    for (std::size_t n = 0; n < width; ++n)
        buf += static_cast<char>(value >> (8 * n));
}

static std::uint64_t readInteger(std::string_view bytes, std::size_t offset, std::size_t width)
{
    std::uint64_t value = 0;
    for (std::size_t n = 0; n < width; ++n)
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[offset + n])) << (8 * n);
    return value;
}

static std::uint64_t checksum(std::uint64_t segment, std::uint64_t offset, std::string_view payload)
{
    std::string position;
    appendInteger(position, segment, integerBytes);
    appendInteger(position, offset, integerBytes);
    appendInteger(position, payload.size(), integerBytes);
    return hash64(payload, hash64(position));
}

std::string encodeSegmentHeader(const SegmentHeader& header)
{
    std::string buf(headerMagic);
    appendInteger(buf, header.number, integerBytes);
    appendInteger(buf, header.base, integerBytes);
    buf += header.holder.text();
    appendInteger(buf, hash64(buf), integerBytes);
    return buf;
}

std::optional<SegmentHeader> decodeSegmentHeader(std::string_view bytes)
{
    if (bytes.size() < segmentHeaderBytes || !bytes.starts_with(headerMagic))
        return std::nullopt;
    std::size_t checksummedBytes = segmentHeaderBytes - integerBytes;
    if (readInteger(bytes, checksummedBytes, integerBytes) != hash64(bytes.substr(0, checksummedBytes)))
        return std::nullopt;
    return SegmentHeader { readInteger(bytes, 8, integerBytes), readInteger(bytes, 16, integerBytes), HolderId(std::string(bytes.substr(24, holderIdDigits))) };
}

std::string encodeFrame(std::uint64_t segment, std::uint64_t offset, const std::vector<std::string>& records)
{
    std::string payload;
    for (const std::string& record : records) {
        appendInteger(payload, record.size(), lengthBytes);
        payload += record;
    }
    std::string buf(frameMagic);
    appendInteger(buf, payload.size(), lengthBytes);
    appendInteger(buf, checksum(segment, offset, payload), integerBytes);
    return buf + payload;
}

static std::vector<std::string_view> splitRecords(std::string_view payload)
{
    std::vector<std::string_view> records;
    while (payload.size() >= lengthBytes) {
        std::size_t size = readInteger(payload, 0, lengthBytes);
        records.push_back(payload.substr(lengthBytes, size));
        payload.remove_prefix(lengthBytes + size);
    }
    return records;
}

std::optional<std::uint64_t> frameSize(std::string_view header)
{
    if (header.size() < frameHeaderBytes || !header.starts_with(frameMagic))
        return std::nullopt;
    return frameHeaderBytes + readInteger(header, frameMagic.size(), lengthBytes);
}

std::optional<Frame> decodeFrame(std::uint64_t segment, std::string_view bytes, std::uint64_t offset, std::uint64_t begin)
{
    if (offset - begin > bytes.size())
        return std::nullopt;
    std::string_view rest = bytes.substr(offset - begin);
    auto size = frameSize(rest);
    if (!size || *size > rest.size())
        return std::nullopt;
    std::string_view payload = rest.substr(frameHeaderBytes, *size - frameHeaderBytes);
    if (readInteger(rest, frameMagic.size() + lengthBytes, integerBytes) != checksum(segment, offset, payload))
        return std::nullopt;
    return Frame { splitRecords(payload), offset + *size };
}

bool hasFrameAtOrAfter(std::uint64_t segment, std::string_view bytes, std::uint64_t offset)
{
    for (auto it = bytes.find(frameMagic, offset); it != std::string_view::npos; it = bytes.find(frameMagic, it + 1)) {
        if (decodeFrame(segment, bytes, it))
            return true;
    }
    return false;
}

} // namespace basilpoint
