// Base64 by OpenSSL.

#include "spindleadapters/internal/Base64.h"

#include <limits>
#include <openssl/evp.h>

namespace jacinthspindle::internal {

namespace {

    constexpr size_t groupBytes = 3;
    constexpr size_t groupCharacters = 4;

    const unsigned char* toUnsigned(const char* text)
    {
        return reinterpret_cast<const unsigned char*>(text);
    }

    // OpenSSL skips spaces and line ends at both ends of the text, which would make two texts equal.
    bool isBase64(std::string_view text)
    {
        if (text.size() % groupCharacters || text.size() > static_cast<size_t>(std::numeric_limits<int>::max()))
            return false;
        size_t end = text.find('=');
        if (end != std::string_view::npos
            && (text.size() - end > 2 || text.substr(end).find_first_not_of('=') != std::string_view::npos))
            return false;
        return text.substr(0, end).find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/")
            == std::string_view::npos;
    }

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string text((bytes.size() + groupBytes - 1) / groupBytes * groupCharacters + 1, '\0');
    int n = EVP_EncodeBlock(
        reinterpret_cast<unsigned char*>(text.data()), toUnsigned(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<size_t>(n));
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (!isBase64(text))
        return std::nullopt;
    if (text.empty())
        return std::string();
    std::string bytes(text.size() / groupCharacters * groupBytes, '\0');
    int n = EVP_DecodeBlock(
        reinterpret_cast<unsigned char*>(bytes.data()), toUnsigned(text.data()), static_cast<int>(text.size()));
    if (n < 0)
        return std::nullopt;
    size_t padding = text.size() - text.find_last_not_of('=') - 1;
    bytes.resize(static_cast<size_t>(n) - padding);
    return bytes;
}

} // namespace jacinthspindle::internal
