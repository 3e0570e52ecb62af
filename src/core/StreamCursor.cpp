// Text form of cursors and verification of regenerated prefixes.

#include "spindlecore/StreamCursor.h"

#include "spindlecore/internal/Digest.h"
#include "spindlecore/internal/Escape.h"

#include <array>
#include <charconv>
#include <openssl/crypto.h>
#include <stdexcept>
#include <vector>

namespace jacinthspindle {

namespace {

    // Identifies the format. Any change of the members or their order needs a new number.
    constexpr std::string_view formatTag = "c1";
    constexpr char separator = '.';
    constexpr size_t fieldCount = 9; // Tag, seven members and the authentication code.
    constexpr size_t digestDigits = 32;

    std::string hexNumber(uint64_t value)
    {
        std::array<char, 16> buf {};
        auto end = std::to_chars(buf.data(), buf.data() + buf.size(), value, 16).ptr;
        return { buf.data(), end };
    }

    template <typename Number> bool parseHex(std::string_view text, Number& value)
    {
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
        return ec == std::errc() && end == text.data() + text.size() && !text.empty();
    }

    std::vector<std::string_view> split(std::string_view text)
    {
        std::vector<std::string_view> parts;
        while (true) {
            size_t end = text.find(separator);
            parts.push_back(text.substr(0, end));
            if (end == std::string_view::npos)
                return parts;
            text.remove_prefix(end + 1);
        }
    }

} // namespace

TextDigest::TextDigest()
    : m_value(digestDigits, '0')
{
}

void TextDigest::add(std::string_view tokenText)
{
    m_value = internal::sha256Hex(m_value + std::string(tokenText)).substr(0, digestDigits);
}

CursorCodec::CursorCodec(std::string key)
    : m_key(std::move(key))
{
    if (m_key.empty())
        throw std::invalid_argument("the key of cursors is empty");
}

std::string CursorCodec::authenticate(std::string_view body, std::string_view binding) const
{
    // The purpose string prevents codes of other message kinds under the same key from being accepted here.
    std::string bytes = "jacinthspindle cursor\n" + hexNumber(binding.size()) + "\n";
    bytes.append(binding).append(body);
    auto code = internal::messageAuthenticationCode(m_key, bytes);
    std::string text;
    for (unsigned char byte : code) {
        text += "0123456789abcdef"[byte >> 4];
        text += "0123456789abcdef"[byte & 15];
    }
    return text;
}

std::string CursorCodec::format(const StreamCursor& cursor, std::string_view binding) const
{
    std::string body(formatTag);
    for (const auto& part : { internal::escape(cursor.request.value()), hexNumber(cursor.nextPosition),
             cursor.textDigest, hexNumber(cursor.seed), internal::escape(cursor.version), hexNumber(cursor.logicalTime),
             hexNumber(cursor.attempt) })
        body += separator + part;
    return body + separator + authenticate(body, binding);
}

std::optional<StreamCursor> CursorCodec::parse(std::string_view text, std::string_view binding, Reason& reason) const
{
    auto refuse = [&](const char* why) {
        reason = { ResultCode::CursorInvalid, why };
        return std::nullopt;
    };
    if (text.size() > maxCursorBytes)
        return refuse("the cursor is too long");
    auto parts = split(text);
    if (parts.size() != fieldCount)
        return refuse("the cursor does not have nine parts");
    if (parts[0] != formatTag)
        return refuse("the cursor has an unknown format");
    auto body = text.substr(0, text.size() - parts.back().size() - 1);
    auto expected = authenticate(body, binding);
    if (parts.back().size() != expected.size()
        || CRYPTO_memcmp(parts.back().data(), expected.data(), expected.size()) != 0)
        return refuse("the cursor was not issued for this request");
    StreamCursor cursor;
    auto request = internal::unescape(parts[1]);
    auto version = internal::unescape(parts[5]);
    bool isWhole = request && version && parts[3].size() == digestDigits && parseHex(parts[2], cursor.nextPosition)
        && parseHex(parts[4], cursor.seed) && parseHex(parts[6], cursor.logicalTime)
        && parseHex(parts[7], cursor.attempt);
    if (!isWhole)
        return refuse("a member of the cursor is malformed");
    cursor.request = RequestId(*request);
    cursor.version = *version;
    cursor.textDigest = parts[3];
    return cursor;
}

PrefixChecker::PrefixChecker(const StreamCursor& cursor)
    : m_cursor(cursor)
{
    if (m_cursor.nextPosition == 0)
        m_state = m_cursor.textDigest == m_digest.value() ? PrefixState::Verified : PrefixState::Mismatch;
}

PrefixState PrefixChecker::add(uint32_t position, std::string_view text, bool isLast)
{
    if (m_state == PrefixState::Mismatch)
        return m_state;
    if (position != m_nextPosition) {
        m_state = PrefixState::Mismatch;
        return m_state;
    }
    ++m_nextPosition;
    m_digest.add(text);
    if (m_state == PrefixState::Verified)
        return m_state;
    if (m_nextPosition < m_cursor.nextPosition) {
        // The regenerated answer is shorter than the part that the caller has already received.
        if (isLast)
            m_state = PrefixState::Mismatch;
        return m_state;
    }
    m_state = m_digest.value() == m_cursor.textDigest ? PrefixState::Verified : PrefixState::Mismatch;
    return m_state;
}

} // namespace jacinthspindle
