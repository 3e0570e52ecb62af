// Delivery of peer messages between a few machines of one protocol, by a queue with a fixed delay. A test decides for
// each message, by its number, whether it is lost, late or doubled, and which pairs of hosts are cut off.

#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <spindlecore/spindlecore.h>

namespace jacinthspindle::test {

enum class MessageFault : uint8_t { None, Lost, Late, Doubled };

class PeerNet {
public:
    struct Message {
        Instant due {};
        std::string to; // Address.
        PeerReceived received;
    };

    void send(Instant now, const HostId& from, uint64_t incarnation, const SendToPeer& message)
    {
        auto fault = m_faults.find(m_count++);
        auto kind = fault == m_faults.end() ? MessageFault::None : fault->second;
        if (isCut(from.value(), message.address) || kind == MessageFault::Lost)
            return;
        auto due = now + (kind == MessageFault::Late ? lateDelay : delay);
        Message item { due, message.address, { from, incarnation, message.body } };
        m_queue.emplace(due, item);
        if (kind == MessageFault::Doubled)
            m_queue.emplace(due + delay, item);
    }

    std::vector<Message> takeDue(Instant now)
    {
        std::vector<Message> result;
        auto end = m_queue.upper_bound(now);
        for (auto it = m_queue.begin(); it != end; ++it)
            result.push_back(std::move(it->second));
        m_queue.erase(m_queue.begin(), end);
        return result;
    }

    void setFault(uint64_t message, MessageFault kind) { m_faults[message] = kind; }
    // Returns whether messages from a host to an address are lost.
    void cut(std::function<bool(const std::string& from, const std::string& to)> rule) { m_isCut = std::move(rule); }
    void heal() { m_isCut = nullptr; }
    bool isCut(const std::string& from, const std::string& to) const { return m_isCut && m_isCut(from, to); }
    uint64_t count() const { return m_count; }

    static constexpr std::chrono::milliseconds delay { 5 };
    static constexpr std::chrono::milliseconds lateDelay { 1500 };

private:
    std::multimap<Instant, Message> m_queue;
    std::map<uint64_t, MessageFault> m_faults;
    std::function<bool(const std::string&, const std::string&)> m_isCut;
    uint64_t m_count = 0;
};

} // namespace jacinthspindle::test
