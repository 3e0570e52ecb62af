// SHA-256 digests and authentication codes of bytes, and digests of structured values. The digest of a value depends
// only on the values of its members and their order.

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace jacinthspindle::internal {

// Returns the SHA-256 digest as 64 hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

// Returns the first 8 bytes of the SHA-256 digest as a big-endian number.
uint64_t sha256Prefix64(std::string_view bytes);

// Returns the first 16 bytes of HMAC-SHA256.
std::string messageAuthenticationCode(std::string_view key, std::string_view bytes);

// Serialises the fields of values unambiguously and computes their digest: integers are 8 bytes in big-endian order;
// strings and lists are preceded by their length.
class DigestVisitor {
public:
    template <typename... Values> void operator()(const Values&... values) { (add(values), ...); }
    std::string hexDigest() const { return sha256Hex(m_bytes); }

private:
    void addNumber(uint64_t value)
    {
        for (int shift = 56; shift >= 0; shift -= 8)
            m_bytes += static_cast<char>(value >> shift & 0xff);
    }

    void add(const std::string& text)
    {
        addNumber(text.size());
        m_bytes += text;
    }

    template <typename Rep, typename Period> void add(const std::chrono::duration<Rep, Period>& value)
    {
        addNumber(static_cast<uint64_t>(value.count()));
    }

    template <typename Value> void add(const std::vector<Value>& values)
    {
        addNumber(values.size());
        for (const auto& it : values)
            add(it);
    }

    template <typename Value> void add(const Value& value)
    {
        if constexpr (std::is_integral_v<Value> || std::is_enum_v<Value>)
            addNumber(static_cast<uint64_t>(value));
        else
            Value::fields(value, *this);
    }

    std::string m_bytes;
};

} // namespace jacinthspindle::internal
