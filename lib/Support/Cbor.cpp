#include "basilpoint/Support/Cbor.h"

namespace basilpoint {

using Json = nlohmann::json;

namespace {

    // The library's parser calls itself for each level, so that deep nesting would overflow the stack of a fiber.
    class DepthCheck final : public nlohmann::json_sax<Json> {
    public:
        bool null() override { return true; }
        bool boolean(bool) override { return true; }
        bool number_integer(number_integer_t) override { return true; }
        bool number_unsigned(number_unsigned_t) override { return true; }
        bool number_float(number_float_t, const string_t&) override { return true; }
        bool string(string_t&) override { return true; }
        bool binary(binary_t&) override { return true; }
        bool key(string_t&) override { return true; }
        bool start_object(std::size_t) override { return enter(); }
        bool end_object() override { return leave(); }
        bool start_array(std::size_t) override { return enter(); }
        bool end_array() override { return leave(); }
        // Left to the parser proper, which says what is wrong.
        bool parse_error(std::size_t, const std::string&, const Json::exception&) override { return false; }

        bool isTooDeep() const { return m_depth > maxCborDepth; }

    private:
        bool enter() { return ++m_depth <= maxCborDepth; }
        bool leave()
        {
            --m_depth;
            return true;
        }

        unsigned m_depth = 0;
    };

} // namespace

Json parseCbor(std::string_view bytes)
{
    // Few bytes cannot be nested deeply.
    DepthCheck check;
    if (bytes.size() > maxCborDepth)
        Json::sax_parse(bytes, &check, nlohmann::detail::input_format_t::cbor);
    if (check.isTooDeep())
        throw Json::out_of_range::create(408, "nested more deeply than " + std::to_string(maxCborDepth), static_cast<Json*>(nullptr));
    return Json::from_cbor(bytes);
}

} // namespace basilpoint
