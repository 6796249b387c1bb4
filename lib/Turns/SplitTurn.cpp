#include "basilpoint/Turns/SplitTurn.h"

#include "RecordCodec.h"

#include <algorithm>
#include <fmt/format.h>

namespace basilpoint {

using Json = nlohmann::json;

static std::string nameOf(std::string_view content, std::size_t n)
{
    return fmt::format("{}/{:04}", content, n);
}

static std::size_t countOf(std::size_t bytes, std::size_t pieceBytes)
{
    return (bytes + pieceBytes - 1) / pieceBytes;
}

SplitTurn::SplitTurn(std::shared_ptr<const TurnRecord> record, std::size_t pieceBytes)
    : m_record(std::move(record))
    , m_pieceBytes(pieceBytes)
    , m_content(extendDigest(digestOf(fmt::format("{}:{}", pieceBytes, m_record->input)), m_record->output))
{
}

std::string SplitTurn::head() const
{
    return toCbor({ { "t", m_record->turn.text() }, { "p", m_record->previous.text() }, { "a", m_record->target.text() }, { "i", m_record->input.size() }, { "o", m_record->output.size() }, { "c", m_content.text() }, { "n", m_pieceBytes } });
}

std::size_t SplitTurn::pieces() const
{
    return countOf(bytesOf(*m_record), m_pieceBytes);
}

std::string SplitTurn::pieceName(std::size_t n) const
{
    return nameOf(m_content.text(), n);
}

std::string SplitTurn::piece(std::size_t n) const
{
    std::size_t begin = n * m_pieceBytes;
    std::size_t inputBytes = m_record->input.size();
    std::string bytes = begin < inputBytes ? m_record->input.substr(begin, m_pieceBytes) : std::string();
    std::size_t outputBegin = begin + bytes.size() - inputBytes;
    if (bytes.size() < m_pieceBytes && outputBegin < m_record->output.size())
        bytes.append(m_record->output, outputBegin, m_pieceBytes - bytes.size());
    return bytes;
}

std::optional<TurnRecord> SplitTurn::join(const std::string& head, const PieceLookup& find)
{
    return readRecord("head of a turn", head, [&](const Json& json) -> std::optional<TurnRecord> {
        TurnRecord record { CallId(json.at("t").get<std::string>()), CallId(json.at("p").get<std::string>()), {}, {}, TargetId(json.at("a").get<std::string>()) };
        auto inputBytes = json.at("i").get<std::size_t>();
        auto bytes = inputBytes + json.at("o").get<std::size_t>();
        auto pieceBytes = json.at("n").get<std::size_t>();
        auto content = json.at("c").get<std::string>();
        if (pieceBytes == 0)
            throw DamagedRecordError("head of a turn");
        for (std::size_t n = 0; n < countOf(bytes, pieceBytes); ++n) {
            const std::string* piece = find(nameOf(content, n));
            if (!piece)
                return std::nullopt;
            std::size_t ofInput = std::min(piece->size(), inputBytes - record.input.size());
            record.input.append(*piece, 0, ofInput);
            record.output.append(*piece, ofInput);
        }
        if (bytesOf(record) != bytes)
            throw DamagedRecordError("piece of a turn");
        return record;
    });
}

} // namespace basilpoint
