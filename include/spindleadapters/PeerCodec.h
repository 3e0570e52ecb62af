// Authenticated bytes of peer messages, and the check against replays.

#pragma once

#include "spindlecore/spindlecore.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace jacinthspindle {

// Encodes and decodes the messages of one daemon. Not thread-safe: each thread that receives or sends has its own.
//
// A message is a 16-byte authentication code, followed by a msgpack array. The decoder refuses
// - PeerMessageMalformed: truncated, oversized or otherwise not exactly one message of a known format;
// - PeerMessageUnauthentic: a wrong code, another receiver, an older incarnation of the sender, or a sequence number
//   that was seen before or lies more than 64 behind the newest one.
class PeerCodec {
public:
    // An empty key is refused by every decoder: it would authenticate everyone.
    PeerCodec(HostId self, std::string key);

    std::string encode(const PeerMessage&) const;
    std::optional<PeerMessage> decode(std::string_view bytes);
    // Why the last decode() returned nothing.
    const Reason& lastReason() const { return m_reason; }

private:
    struct Window {
        uint64_t incarnation = 0;
        uint64_t newest = 0;
        uint64_t seen = 0; // Bit n: sequence newest - n was received.
        uint64_t usedAt = 0;
    };

    std::optional<PeerMessage> refuse(ResultCode, std::string text);
    bool isFresh(const PeerMessage&);
    void evictOldest();

    HostId m_self;
    std::string m_key;
    Reason m_reason;
    std::unordered_map<HostId, Window> m_windows;
    uint64_t m_uses = 0;
};

} // namespace jacinthspindle
