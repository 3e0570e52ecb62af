// One HTTP request and its answer, with a bound on time and size, over connections that are kept for reuse.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jacinthspindle::internal {

// NotSent: no byte of the request reached the server. Broken: the request may have been received, and no whole answer
// came. Whole: the answer's head arrived and the end of its body was marked by a length or by chunks.
enum class Delivery : uint8_t { NotSent, Broken, Whole };

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpCall {
    std::string address; // "IP:port".
    std::string method;
    std::string path;
    HttpHeaders headers;
    std::string contentType; // Sent when it is not empty.
    std::string body;
    // For the whole exchange; with a reader, for each wait between two steps of progress.
    std::chrono::milliseconds timeout {};
    // With a reader: asked once the server has been silent for the timeout, and then at short intervals. The exchange
    // is ended when it returns false. Empty: the exchange is ended at the timeout.
    std::function<bool()> mayGoOn;
    // The call may run twice: it may use a kept connection, and is sent again when that one ends before the answer.
    bool isIdempotent = false;
    size_t answerLimit = 64 << 20; // Bytes of the answer's body; unused with a reader.
};

struct HttpAnswer {
    Delivery delivery = Delivery::NotSent;
    bool timedOut = false;
    bool stopped = false; // By the reader.
    int status = 0;
    HttpHeaders headers;
    std::string body; // With a reader: only that of an answer other than 200, cut to a few KB.
    std::string error;

    bool isWhole(int wantedStatus) const { return delivery == Delivery::Whole && status == wantedStatus; }
    std::string header(std::string_view name) const;
};

// What the reader of a body made of the bytes. Only Progress moves the deadline.
enum class ReaderVerdict : uint8_t { Wait, Progress, Stop };
using BodyReader = std::function<ReaderVerdict(std::string_view)>;

// Runs the exchange on the calling thread. A reader receives the body of an answer with status 200 as it arrives.
// Never throws because of what the server sends.
HttpAnswer exchange(const HttpCall&, const BodyReader& reader = nullptr);

// Returns path with the parameters appended in encoded form.
std::string withQuery(const std::string& path, const std::vector<std::pair<std::string, std::string>>& parameters);

// Returns the text in encoded form; a '/' is encoded as well.
std::string encodePathSegment(const std::string& text);

} // namespace jacinthspindle::internal
