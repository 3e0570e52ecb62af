// SHA-256 and HMAC-SHA256, computed with OpenSSL.

#include "spindlecore/internal/Digest.h"

#include <array>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace jacinthspindle::internal {

namespace {

    constexpr size_t sha256Bytes = 32;
    constexpr size_t macBytes = 16; // HMAC-SHA256 truncated to 128 bits.

    std::string toHex(const unsigned char* data, size_t n)
    {
        static constexpr char digits[] = "0123456789abcdef";
        std::string text;
        text.reserve(n * 2);
        for (size_t i = 0; i < n; ++i) {
            text += digits[data[i] >> 4];
            text += digits[data[i] & 15];
        }
        return text;
    }

} // namespace

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf {};
    unsigned int n = 0;
    EVP_Digest(bytes.data(), bytes.size(), buf.data(), &n, EVP_sha256(), nullptr);
    return toHex(buf.data(), sha256Bytes);
}

uint64_t sha256Prefix64(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf {};
    unsigned int n = 0;
    EVP_Digest(bytes.data(), bytes.size(), buf.data(), &n, EVP_sha256(), nullptr);
    uint64_t value = 0;
    for (size_t i = 0; i < sizeof value; ++i)
        value = value << 8 | buf[i];
    return value;
}

std::string messageAuthenticationCode(std::string_view key, std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf {};
    unsigned int n = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(bytes.data()),
        bytes.size(), buf.data(), &n);
    return { reinterpret_cast<const char*>(buf.data()), macBytes };
}

} // namespace jacinthspindle::internal
