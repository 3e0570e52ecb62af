// Escaping of identifiers as '~' and two hexadecimal digits per byte.

#include "spindlecore/internal/Escape.h"

namespace jacinthspindle::internal {

namespace {

    constexpr std::string_view hexDigits = "0123456789abcdef";

    bool needsNoEscape(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    }

} // namespace

std::string escape(std::string_view text)
{
    std::string result;
    result.reserve(text.size());
    for (char c : text) {
        if (needsNoEscape(c)) {
            result += c;
            continue;
        }
        auto byte = static_cast<unsigned char>(c);
        result += '~';
        result += hexDigits[byte >> 4];
        result += hexDigits[byte & 15];
    }
    return result;
}

std::optional<std::string> unescape(std::string_view text)
{
    std::string result;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '~') {
            if (!needsNoEscape(text[i]))
                return std::nullopt;
            result += text[i];
            continue;
        }
        if (i + 2 >= text.size())
            return std::nullopt;
        size_t high = hexDigits.find(text[i + 1]);
        size_t low = hexDigits.find(text[i + 2]);
        if (high == std::string_view::npos || low == std::string_view::npos)
            return std::nullopt;
        result += static_cast<char>(high << 4 | low);
        i += 2;
    }
    return result;
}

} // namespace jacinthspindle::internal
