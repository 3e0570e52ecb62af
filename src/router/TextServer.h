// A small HTTP server for the balancer's question and for metrics: each request gets a status and a text.

#pragma once

#include "router/Net.h"

#include <spindlecore/spindlecore.h>

#include <functional>
#include <string>

namespace jacinthspindle::router {

struct TextAnswer {
    unsigned status = 200;
    std::string text;
};

// Belongs to one event loop; answer is called on it.
class TextServer {
public:
    TextServer(net::io_context&, std::function<TextAnswer()> answer);

    // Returns why the address cannot be opened.
    std::optional<Reason> open(const std::string& address);

private:
    net::awaitable<void> accept();
    net::awaitable<void> serve(tcp::socket);

    net::io_context& m_io;
    tcp::acceptor m_acceptor;
    std::function<TextAnswer()> m_answer;
};

} // namespace jacinthspindle::router
