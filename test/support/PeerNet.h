// Simulated network for tests of the protocols between daemons: delivers messages after a fixed delay. A test can lose,
// delay or duplicate single messages, selected by their number, and can cut the connection between pairs of hosts.

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
        std::string to; // Address of the receiver.
        PeerReceived received;
    };

    // Queues a message, subject to the faults. Messages are numbered from 0 in the order of these calls.
    void send(Instant now, const HostId& from, uint64_t incarnation, const SendToPeer& message)
    {
        auto fault = m_faults.find(m_messageCount++);
        auto faultKind = fault == m_faults.end() ? MessageFault::None : fault->second;
        if (isCut(from.value(), message.address) || faultKind == MessageFault::Lost)
            return;
        auto due = now + (faultKind == MessageFault::Late ? lateDelay : delay);
        Message item { due, message.address, { from, incarnation, message.body } };
        m_queue.emplace(due, item);
        if (faultKind == MessageFault::Doubled)
            m_queue.emplace(due + delay, item);
    }

    // Removes and returns the messages that are due.
    std::vector<Message> takeDue(Instant now)
    {
        std::vector<Message> result;
        auto end = m_queue.upper_bound(now);
        for (auto it = m_queue.begin(); it != end; ++it)
            result.push_back(std::move(it->second));
        m_queue.erase(m_queue.begin(), end);
        return result;
    }

    void setFault(uint64_t message, MessageFault faultKind) { m_faults[message] = faultKind; }
    // Sets a predicate that selects the pairs of sender and address whose messages are lost.
    void cut(std::function<bool(const std::string& from, const std::string& to)> rule) { m_cutRule = std::move(rule); }
    void heal() { m_cutRule = nullptr; }
    bool isCut(const std::string& from, const std::string& to) const { return m_cutRule && m_cutRule(from, to); }
    // Returns the number of messages sent, including lost ones.
    uint64_t count() const { return m_messageCount; }

    static constexpr std::chrono::milliseconds delay { 5 };
    static constexpr std::chrono::milliseconds lateDelay { 1500 };

private:
    std::multimap<Instant, Message> m_queue;
    std::map<uint64_t, MessageFault> m_faults;
    std::function<bool(const std::string&, const std::string&)> m_cutRule;
    uint64_t m_messageCount = 0;
};

} // namespace jacinthspindle::test
