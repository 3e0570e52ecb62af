// Push/pull sockets of nng: one listening socket, and a bounded set of outgoing ones.

#include "spindleadapters/NngPeerTransport.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <unordered_map>

namespace jacinthspindle {

namespace {

    constexpr nng_duration reconnectMin = 100; // Milliseconds.
    constexpr nng_duration reconnectMax = 2000;

    struct Outgoing {
        nng_socket socket = NNG_SOCKET_INITIALIZER;
        Instant usedAt {};
    };

    std::string urlOf(const std::string& address)
    {
        return "tcp://" + address;
    }

    // nng waits for a receive time-out as a socket option; values below a millisecond would wait for ever.
    nng_duration durationOf(std::chrono::milliseconds timeout)
    {
        return static_cast<nng_duration>(std::clamp<int64_t>(timeout.count(), 1, 3'600'000));
    }

} // namespace

struct NngPeerTransport::State {
    State(const NngPeerSettings& value, const Clock& time)
        : settings(value)
        , clock(time)
    {
    }

    Outgoing* findOrOpen(const std::string& address)
    {
        auto it = sockets.find(address);
        if (it != sockets.end())
            return &it->second;
        if (sockets.size() >= settings.maxSockets && !closeOldest())
            return nullptr;
        Outgoing fresh;
        if (nng_push0_open(&fresh.socket))
            return nullptr;
        nng_socket_set_int(fresh.socket, NNG_OPT_SENDBUF, settings.sendQueue);
        nng_socket_set_ms(fresh.socket, NNG_OPT_RECONNMINT, reconnectMin);
        nng_socket_set_ms(fresh.socket, NNG_OPT_RECONNMAXT, reconnectMax);
        if (nng_dial(fresh.socket, urlOf(address).c_str(), nullptr, NNG_FLAG_NONBLOCK)) {
            nng_close(fresh.socket);
            return nullptr;
        }
        ++counters.opened;
        return &sockets.emplace(address, fresh).first->second;
    }

    bool closeOldest()
    {
        auto oldest = sockets.begin();
        for (auto it = sockets.begin(); it != sockets.end(); ++it) {
            if (it->second.usedAt < oldest->second.usedAt)
                oldest = it;
        }
        if (clock.now() - oldest->second.usedAt < settings.minSocketAge)
            return false;
        nng_close(oldest->second.socket);
        sockets.erase(oldest);
        return true;
    }

    NngPeerSettings settings;
    const Clock& clock;
    nng_socket listening = NNG_SOCKET_INITIALIZER;
    std::string bound;
    mutable std::mutex mutex; // Guards the members below.
    std::unordered_map<std::string, Outgoing> sockets;
    NngPeerCounters counters;
    std::atomic<uint64_t> received = 0;
};

std::unique_ptr<NngPeerTransport> NngPeerTransport::open(
    const NngPeerSettings& settings, const Clock& clock, Reason& reason)
{
    auto state = std::make_unique<State>(settings, clock);
    int error = nng_pull0_open(&state->listening);
    if (error) {
        reason = { ResultCode::SettingsInvalid, nng_strerror(error) };
        return nullptr;
    }
    nng_socket_set_int(state->listening, NNG_OPT_RECVBUF, settings.receiveQueue);
    nng_socket_set_size(state->listening, NNG_OPT_RECVMAXSZ, maxPeerMessageBytes);
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    error = nng_listen(state->listening, urlOf(settings.listenAddress).c_str(), &listener, 0);
    if (error) {
        nng_close(state->listening);
        reason = { ResultCode::SettingsInvalid, settings.listenAddress + ": " + nng_strerror(error) };
        return nullptr;
    }
    state->bound = settings.listenAddress;
    nng_sockaddr local {};
    if (!nng_listener_get_addr(listener, NNG_OPT_LOCADDR, &local) && local.s_family == NNG_AF_INET) {
        auto port = static_cast<uint16_t>(local.s_in.sa_port << 8 | local.s_in.sa_port >> 8);
        state->bound.replace(state->bound.rfind(':') + 1, std::string::npos, std::to_string(port));
    }
    return std::unique_ptr<NngPeerTransport>(new NngPeerTransport(std::move(state)));
}

NngPeerTransport::NngPeerTransport(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

NngPeerTransport::~NngPeerTransport()
{
    nng_close(m_state->listening);
    for (auto& [address, it] : m_state->sockets)
        nng_close(it.socket);
}

bool NngPeerTransport::send(const std::string& address, const std::string& bytes)
{
    std::lock_guard lock(m_state->mutex);
    auto& counters = m_state->counters;
    auto* outgoing = bytes.size() <= maxPeerMessageBytes ? m_state->findOrOpen(address) : nullptr;
    if (!outgoing) {
        ++counters.sendFailures;
        return false;
    }
    outgoing->usedAt = m_state->clock.now();
    // Copies the bytes; nng does not change them although its interface lacks the const.
    int error = nng_send(outgoing->socket, const_cast<char*>(bytes.data()), bytes.size(), NNG_FLAG_NONBLOCK);
    ++(error ? counters.sendFailures : counters.sent);
    return !error;
}

std::optional<std::string> NngPeerTransport::receive(std::chrono::milliseconds timeout)
{
    nng_socket_set_ms(m_state->listening, NNG_OPT_RECVTIMEO, durationOf(timeout));
    void* data = nullptr;
    size_t size = 0;
    if (nng_recv(m_state->listening, &data, &size, NNG_FLAG_ALLOC))
        return std::nullopt;
    std::string bytes(static_cast<const char*>(data), size);
    nng_free(data, size);
    ++m_state->received;
    return bytes;
}

void NngPeerTransport::stop()
{
    nng_close(m_state->listening);
}

std::string NngPeerTransport::boundAddress() const
{
    return m_state->bound;
}

NngPeerCounters NngPeerTransport::counters() const
{
    std::lock_guard lock(m_state->mutex);
    auto result = m_state->counters;
    result.openSockets = static_cast<uint32_t>(m_state->sockets.size());
    result.received = m_state->received;
    return result;
}

} // namespace jacinthspindle
