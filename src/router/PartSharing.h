// Exchange of what daemons know about parts of prompts, with all daemons of all data centres. Engines may end under the
// requests of any of them, so that no data centre sees each end.

#pragma once

#include "daemon/Metrics.h"
#include "router/Broadcast.h"
#include "router/HttpCaller.h"
#include "router/Journal.h"
#include "router/PromptParts.h"
#include "router/TextServer.h"

namespace jacinthspindle::router {

// A message between daemons: the sender, so that a daemon that the receiver has not read of is told in turn, and what
// it knows.
struct PartMessage {
    PeerHost sender;
    PartNews news;
    bool operator==(const PartMessage&) const = default;
};

// Target of the requests; the answer is the receiver's news. The whole one is for a daemon that has just started.
inline constexpr std::string_view partsTarget = "/parts";
inline constexpr std::string_view allPartsTarget = "/parts/all";
std::string encodePartMessage(const PartMessage&);
// Nothing when the text is malformed or too long.
std::optional<PartMessage> decodePartMessage(std::string_view text);

// Belongs to the control thread.
class PartSharing {
public:
    // hosts: the daemons that this one has read of.
    PartSharing(EventLoop&, const Clock&, Journal&, daemon::Metrics&, PeerHost self,
        std::function<std::vector<PeerHost>()> hosts);

    // parts must outlive the event loop.
    void start(PromptParts& parts);
    // This daemon knows more: it tells all others at once.
    void noteNews();
    TextAnswer answer(const TextRequest&);

private:
    net::awaitable<void> pushNews();
    net::awaitable<void> push(std::shared_ptr<std::vector<PeerHost>> left);
    net::awaitable<void> followOthers();
    net::awaitable<bool> exchangeWith(PeerHost, std::string_view target);
    void adopt(const PartNews&, const HostId& sender);
    std::vector<PeerHost> others() const;
    std::optional<PeerHost> nextPeer();

    EventLoop& m_loop;
    const Clock& m_clock;
    Journal& m_journal;
    daemon::Metrics& m_metrics;
    const PeerHost m_self;
    std::function<std::vector<PeerHost>()> m_hosts;
    PromptParts* m_parts = nullptr;
    std::map<HostId, PeerHost> m_senders; // Daemons that sent something; no more than maxSenders.
    Broadcast m_change;
    size_t m_turn = 0;
    bool m_hasNews = false; // That not all others were told.
};

} // namespace jacinthspindle::router
