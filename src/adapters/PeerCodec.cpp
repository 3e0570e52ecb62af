// Encoding, authentication and replay check of peer messages.

#include "spindleadapters/PeerCodec.h"

#include "spindleadapters/internal/FieldCodec.h"
#include "spindlecore/internal/Digest.h"

#include <algorithm>
#include <openssl/crypto.h>

namespace jacinthspindle {

namespace {

    constexpr size_t macBytes = 16;
    constexpr uint64_t windowBits = 64;
    // At the target size 880 daemons run; hosts are replaced under other names 720 times a day at most.
    constexpr size_t maxWindows = 4096;

} // namespace

PeerCodec::PeerCodec(HostId self, std::string key)
    : m_self(std::move(self))
    , m_key(std::move(key))
{
}

std::string PeerCodec::encode(const PeerMessage& message) const
{
    auto content = internal::encodeFields(message);
    return internal::messageAuthenticationCode(m_key, content) + content;
}

std::optional<PeerMessage> PeerCodec::refuse(ResultCode code, std::string text)
{
    m_reason = { code, std::move(text) };
    return std::nullopt;
}

std::optional<PeerMessage> PeerCodec::decode(std::string_view bytes)
{
    if (m_key.empty())
        return refuse(ResultCode::PeerMessageUnauthentic, "the peer key is empty");
    if (bytes.size() <= macBytes || bytes.size() > maxPeerMessageBytes)
        return refuse(ResultCode::PeerMessageMalformed, "message of " + std::to_string(bytes.size()) + " bytes");
    auto content = bytes.substr(macBytes);
    auto code = internal::messageAuthenticationCode(m_key, content);
    if (CRYPTO_memcmp(code.data(), bytes.data(), macBytes))
        return refuse(ResultCode::PeerMessageUnauthentic, "wrong authentication code");
    PeerMessage message;
    try {
        size_t offset = 0;
        message = internal::decodeFields<PeerMessage>(content, offset);
        if (offset != content.size())
            return refuse(ResultCode::PeerMessageMalformed, "bytes follow the message");
    } catch (const internal::DecodeError& error) {
        return refuse(ResultCode::PeerMessageMalformed, error.what());
    }
    if (message.format != peerFormatVersion)
        return refuse(
            ResultCode::PeerMessageMalformed, "format " + std::to_string(message.format) + " is not supported");
    if (message.sender.isEmpty() || message.sender == m_self)
        return refuse(ResultCode::PeerMessageUnauthentic, "the sender is empty or this daemon");
    bool isAddressed = message.receiver == m_self
        || (message.receiver.isEmpty() && (std::get_if<Ping>(&message.body) || std::get_if<Ack>(&message.body)));
    if (!isAddressed)
        return refuse(ResultCode::PeerMessageUnauthentic, "addressed to " + message.receiver.value());
    if (!isFresh(message))
        return std::nullopt;
    return message;
}

bool PeerCodec::isFresh(const PeerMessage& message)
{
    auto& window = m_windows[message.sender];
    window.usedAt = ++m_uses;
    if (message.incarnation < window.incarnation) {
        refuse(ResultCode::PeerMessageUnauthentic, "older incarnation of " + message.sender.value());
        return false;
    }
    if (message.incarnation > window.incarnation)
        window = { message.incarnation, 0, 0, m_uses };
    if (message.sequence > window.newest) {
        uint64_t step = message.sequence - window.newest;
        window.seen = step < windowBits ? window.seen << step | 1 : 1;
        window.newest = message.sequence;
        evictOldest();
        return true;
    }
    uint64_t behind = window.newest - message.sequence;
    if (behind >= windowBits || (window.seen >> behind & 1)) {
        refuse(ResultCode::PeerMessageUnauthentic, "repeated or late message of " + message.sender.value());
        return false;
    }
    window.seen |= uint64_t(1) << behind;
    return true;
}

void PeerCodec::evictOldest()
{
    if (m_windows.size() <= maxWindows)
        return;
    auto oldest = std::min_element(m_windows.begin(), m_windows.end(),
        [](const auto& a, const auto& b) { return a.second.usedAt < b.second.usedAt; });
    m_windows.erase(oldest);
}

} // namespace jacinthspindle
