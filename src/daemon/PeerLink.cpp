// The envelope of peer messages and the thread that receives them.

#include "daemon/PeerLink.h"

namespace jacinthspindle::daemon {

namespace {

    constexpr std::chrono::milliseconds receiveTimeout { 200 };

} // namespace

PeerLink::PeerLink(PeerTransport& transport, const TraceIdentity& identity, const std::string& key,
    TraceRecorder& trace, Metrics& metrics)
    : m_transport(transport)
    , m_identity(identity)
    , m_trace(trace)
    , m_metrics(metrics)
    , m_encoder(identity.host, key)
    , m_decoder(identity.host, key)
{
}

PeerLink::~PeerLink()
{
    stop();
}

bool PeerLink::send(const HostId& receiver, const std::string& address, PeerBody body)
{
    PeerMessage message;
    message.sender = m_identity.host;
    message.incarnation = m_identity.incarnation;
    message.logicalTime = m_trace.logicalTime();
    message.receiver = receiver;
    message.body = std::move(body);
    bool isSent = false;
    {
        std::lock_guard lock(m_sendMutex);
        message.sequence = ++m_sequence;
        isSent = m_transport.send(address, m_encoder.encode(message));
    }
    if (!isSent)
        m_metrics.add(Counter::PeerMessagesDropped);
    return isSent;
}

void PeerLink::start(Receiver receiver)
{
    m_receiver = std::move(receiver);
    m_thread = std::thread([this] { run(); });
}

void PeerLink::stop()
{
    m_isStopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

void PeerLink::run()
{
    while (!m_isStopping) {
        auto bytes = m_transport.receive(receiveTimeout);
        if (!bytes)
            continue;
        auto message = m_decoder.decode(*bytes);
        if (!message) {
            m_metrics.add(Counter::PeerMessagesRejected);
            continue;
        }
        m_metrics.add(Counter::PeerMessagesReceived);
        m_trace.observe(message->logicalTime);
        m_receiver({ message->sender, message->incarnation, std::move(message->body) });
    }
}

} // namespace jacinthspindle::daemon
