#include "basilpoint/Support/Base64.h"

#include "basilpoint/Support/Error.h"

#include <openssl/evp.h>

namespace basilpoint {

std::string encodeBase64(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    int n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

std::string decodeBase64(std::string_view text)
{
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    int n = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (n < 0 || text.size() % 4 != 0)
        throw InvalidInputError("base64", std::string(text.substr(0, 32)), "padded base64");
    // EVP_DecodeBlock() decodes padding as zero bytes and counts them.
    for (std::size_t k = 1; k <= 2 && k <= text.size() && text[text.size() - k] == '='; ++k)
        --n;
    bytes.resize(static_cast<std::size_t>(n));
    return bytes;
}

} // namespace basilpoint
