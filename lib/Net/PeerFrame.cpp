#include "PeerFrame.h"

#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

namespace basilpoint {

using Json = nlohmann::json;

static constexpr std::uint64_t frameVersion = 1;
static constexpr std::size_t numberCount = 4;

namespace {

    // Accepts exactly one array of four unsigned numbers and a byte string. Uses the SAX interface, because building a
    // document tree from maliciously deep nesting would overflow the stack of the fiber.
    class FrameReader final : public nlohmann::json_sax<Json> {
    public:
        bool null() override { return false; }
        bool boolean(bool) override { return false; }
        bool number_integer(number_integer_t) override { return false; }
        bool number_float(number_float_t, const string_t&) override { return false; }
        bool string(string_t&) override { return false; }
        bool start_object(std::size_t) override { return false; }
        bool key(string_t&) override { return false; }
        bool end_object() override { return false; }
        bool parse_error(std::size_t, const std::string&, const Json::exception&) override { return false; }

        bool start_array(std::size_t elements) override { return !std::exchange(m_inList, true) && elements == numberCount + 1; }
        bool end_array() override { return m_body.has_value(); }

        bool number_unsigned(number_unsigned_t value) override
        {
            if (!m_inList || m_count == numberCount)
                return false;
            m_numbers[m_count++] = value;
            return true;
        }

        bool binary(binary_t& value) override
        {
            if (m_count != numberCount || m_body)
                return false;
            m_body = std::string(value.begin(), value.end());
            return true;
        }

        const std::array<std::uint64_t, numberCount>& numbers() const { return m_numbers; }
        std::string takeBody() { return std::move(*m_body); }

    private:
        std::array<std::uint64_t, numberCount> m_numbers {};
        std::size_t m_count = 0;
        std::optional<std::string> m_body;
        bool m_inList = false;
    };

} // namespace

std::string encodePeerFrame(const PeerFrame& frame)
{
    Json list = Json::array({ frameVersion, static_cast<unsigned>(frame.channel), static_cast<unsigned>(frame.kind), frame.callId });
    list.push_back(Json::binary({ frame.body.begin(), frame.body.end() }));
    std::string bytes;
    bytes.reserve(frame.body.size() + maxPeerFrameOverheadBytes);
    Json::to_cbor(list, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

PeerFrame decodePeerFrame(std::string_view bytes)
{
    FrameReader reader;
    if (!Json::sax_parse(bytes.begin(), bytes.end(), &reader, Json::input_format_t::cbor))
        throw InvalidInputError("peer frame", std::to_string(bytes.size()) + " bytes", "one CBOR list of four numbers and a body");
    auto [version, channel, kind, callId] = reader.numbers();
    if (version != frameVersion)
        throw InvalidInputError("peer frame version", std::to_string(version), std::to_string(frameVersion));
    if (channel == 0 || channel > std::numeric_limits<std::uint8_t>::max())
        throw InvalidInputError("peer frame channel", std::to_string(channel), "1 to 255");
    if (kind > static_cast<std::uint64_t>(PeerFrameKind::Failure))
        throw InvalidInputError("peer frame kind", std::to_string(kind), "0 to 3");
    return { static_cast<PeerChannel>(channel), static_cast<PeerFrameKind>(kind), callId, reader.takeBody() };
}

} // namespace basilpoint
