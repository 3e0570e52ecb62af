// Callers of a daemon: streamed completions and actions.

#pragma once

#include "e2e/Process.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace jacinthspindle::e2e {

struct StreamQuery {
    std::string workspace = "schools-board";
    std::string route = "assistant";
    std::string prompt;
    uint32_t tokens = 0;
    std::optional<uint64_t> seed;
    std::string lastEventId;
};

struct ReceivedToken {
    std::string id;
    std::string text;
};

// Runs one streamed completion on a thread of its own.
class StreamCaller {
public:
    StreamCaller(const std::string& address, StreamQuery query);
    ~StreamCaller();
    StreamCaller(const StreamCaller&) = delete;
    StreamCaller& operator=(const StreamCaller&) = delete;

    // Each returns false after the wait limit.
    bool waitForTokens(size_t n);
    bool waitForEnd();

    // Whether the answer ended with the end mark of a whole stream.
    bool isWhole() const;
    int status() const;
    std::vector<ReceivedToken> tokens() const;
    std::string text() const;
    std::string lastEventId() const;
    // What came in place of tokens: an error event or a problem document.
    std::string problem() const;

private:
    void run(const std::string& address, const StreamQuery&);
    void takeBytes(const std::string& bytes);
    void takeEvent(const std::string& event);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_buffer;
    std::vector<ReceivedToken> m_tokens;
    std::string m_problem;
    int m_status = 0;
    bool m_isWhole = false;
    bool m_hasEnded = false;
    std::thread m_thread;
};

struct CallAnswer {
    int status = 0; // 0: no whole answer.
    std::string body;
    std::string ran; // Of a problem document.
};

CallAnswer callAction(const std::string& address, const std::string& key, milliseconds timeout = waitLimit);
CallAnswer get(const std::string& address, const std::string& path, milliseconds timeout = waitLimit);

} // namespace jacinthspindle::e2e
