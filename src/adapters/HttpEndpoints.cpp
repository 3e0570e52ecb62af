// Engines and plain services over HTTP.

#include "spindleadapters/HttpEndpoints.h"

#include "HttpExchange.h"
#include "spindleadapters/internal/EndpointJson.h"

#include <charconv>

namespace jacinthspindle {

namespace {

    using internal::Delivery;
    using internal::exchange;
    using internal::HttpAnswer;
    using internal::HttpCall;
    using internal::ReaderVerdict;
    using std::chrono::milliseconds;

    constexpr const char* jsonType = "application/json";
    // Far above a token's text with the proofs of a chain of hundreds of stages.
    constexpr size_t maxLineBytes = 1 << 20;

    // Cuts the bytes of a stream into lines and hands on the tokens.
    class LineReader {
    public:
        LineReader(const GenerationCall& call, const std::function<StreamControl(const TokenEvent&)>& onToken)
            : m_call(call)
            , m_onToken(onToken)
        {
        }

        ReaderVerdict take(std::string_view bytes)
        {
            auto verdict = ReaderVerdict::Wait;
            while (!bytes.empty()) {
                auto end = bytes.find('\n');
                m_line += bytes.substr(0, end);
                if (m_line.size() > maxLineBytes)
                    return fail("a line of the stream is too long");
                if (end == std::string_view::npos)
                    return verdict;
                bytes.remove_prefix(end + 1);
                if (takeLine() == ReaderVerdict::Stop)
                    return ReaderVerdict::Stop;
                verdict = ReaderVerdict::Progress;
                m_line.clear();
            }
            return verdict;
        }

        bool isComplete() const { return m_isComplete; }
        bool isStoppedByConsumer() const { return m_isStoppedByConsumer; }
        const std::optional<internal::StreamFault>& fault() const { return m_fault; }

    private:
        ReaderVerdict fail(const char* text)
        {
            m_fault = { m_call.chain.front().stage.endpoint, GenerationOutcome::StreamBroken, text };
            return ReaderVerdict::Stop;
        }

        ReaderVerdict takeLine()
        {
            auto line = internal::decodeStreamLine(m_line);
            if (!line)
                return fail("a line of the stream is malformed");
            if (auto* fault = std::get_if<internal::StreamFault>(&*line)) {
                m_fault = std::move(*fault);
                return ReaderVerdict::Stop;
            }
            return takeToken(std::get<TokenEvent>(*line));
        }

        ReaderVerdict takeToken(const TokenEvent& event)
        {
            bool isOwnLast = event.isLast && event.request == m_call.request && event.attempt == m_call.attempt;
            m_isComplete = m_isComplete || isOwnLast;
            if (m_onToken(event) == StreamControl::Continue)
                return ReaderVerdict::Progress;
            m_isStoppedByConsumer = true;
            return ReaderVerdict::Stop;
        }

        const GenerationCall& m_call;
        const std::function<StreamControl(const TokenEvent&)>& m_onToken;
        std::string m_line;
        bool m_isComplete = false;
        bool m_isStoppedByConsumer = false;
        std::optional<internal::StreamFault> m_fault;
    };

    GenerationEnd endOf(const GenerationCall& call, const LineReader& reader, const HttpAnswer& answer)
    {
        const auto& firstHop = call.chain.front().stage.endpoint;
        if (reader.isStoppedByConsumer())
            return { GenerationOutcome::Stopped, {}, {} };
        if (reader.isComplete())
            return { GenerationOutcome::Complete, {}, {} };
        if (reader.fault())
            return { reader.fault()->kind, reader.fault()->endpoint, reader.fault()->text };
        if (answer.delivery == Delivery::NotSent)
            return { GenerationOutcome::ConnectFailed, firstHop, answer.error };
        if (answer.timedOut)
            return { GenerationOutcome::Stalled, {}, "no token within the stall limit" };
        if (answer.status && answer.status != 200)
            return { GenerationOutcome::Refused, firstHop,
                "status " + std::to_string(answer.status) + ": " + answer.body };
        return { GenerationOutcome::StreamBroken, firstHop,
            answer.error.empty() ? "the stream ended before its last token" : answer.error };
    }

    HttpAnswer post(
        const std::string& address, const char* path, const std::optional<std::string>& body, milliseconds timeout)
    {
        if (!body)
            return {};
        HttpCall call;
        call.address = address;
        call.method = "POST";
        call.path = path;
        call.contentType = jsonType;
        call.body = *body;
        call.timeout = timeout;
        return exchange(call);
    }

    constexpr int minHttpStatus = 100;
    constexpr int maxHttpStatus = 599;

    // The status that the action's first answer had; a service that does not name it recorded a success.
    int recordedStatus(const HttpAnswer& answer)
    {
        auto text = answer.header("X-Action-Status");
        int status = 0;
        auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), status);
        bool isStatus = ec == std::errc() && rest == text.data() + text.size() && status >= minHttpStatus
            && status <= maxHttpStatus;
        return isStatus ? status : answer.status;
    }

    HttpCall serviceExchange(const ServiceCall& call, milliseconds timeout)
    {
        HttpCall result;
        result.address = call.address;
        if (!call.idempotencyKey.empty())
            result.headers.emplace_back("Idempotency-Key", call.idempotencyKey);
        if (call.fence)
            result.headers.emplace_back("X-Fencing-Token", std::to_string(call.fence));
        if (!call.traceParent.empty())
            result.headers.emplace_back("traceparent", call.traceParent);
        result.timeout = timeout;
        return result;
    }

} // namespace

GenerationEnd HttpModelEngine::run(const GenerationCall& call,
    const std::function<StreamControl(const TokenEvent&)>& onToken, milliseconds stallLimit,
    const SilenceHandler& onSilence)
{
    if (call.chain.empty())
        return { GenerationOutcome::ConnectFailed, {}, "the chain is empty" };
    auto body = internal::encodeGenerationCall(call);
    if (!body)
        return { GenerationOutcome::Refused, {}, "a text of the call is not UTF-8" };
    HttpCall http;
    http.address = call.chain.front().address;
    http.method = "POST";
    http.path = "/v1/stages/run";
    http.contentType = jsonType;
    http.body = std::move(*body);
    http.timeout = stallLimit;
    if (onSilence)
        http.mayGoOn = [&onSilence] { return onSilence() == StreamControl::Continue; };
    LineReader reader(call, onToken);
    auto answer = exchange(http, [&](std::string_view bytes) { return reader.take(bytes); });
    return endOf(call, reader, answer);
}

bool HttpModelEngine::cancel(
    const std::string& address, const RequestId& request, uint32_t attempt, milliseconds timeout)
{
    return post(address, "/v1/stages/cancel", internal::encodeAttemptCall({ request, attempt, 0 }), timeout)
        .isWhole(200);
}

bool HttpModelEngine::setPriority(
    const std::string& address, const RequestId& request, uint32_t attempt, uint8_t priority, milliseconds timeout)
{
    return post(address, "/v1/stages/priority", internal::encodeAttemptCall({ request, attempt, priority }), timeout)
        .isWhole(200);
}

std::optional<EngineStatus> HttpModelEngine::status(const std::string& address, milliseconds timeout)
{
    HttpCall call;
    call.address = address;
    call.method = "GET";
    call.path = "/v1/stages/status";
    call.timeout = timeout;
    call.isIdempotent = true;
    auto answer = exchange(call);
    if (!answer.isWhole(200))
        return std::nullopt;
    return internal::decodeEngineStatus(answer.body);
}

OrderOutcome HttpModelEngine::order(const EngineOrder& order, milliseconds timeout)
{
    auto answer = post(order.address, "/v1/orders", internal::encodeEngineOrder(order), timeout);
    if (answer.delivery == Delivery::NotSent)
        return OrderOutcome::Failed;
    if (answer.delivery == Delivery::Broken)
        return OrderOutcome::Unknown;
    if (answer.status == 200)
        return OrderOutcome::Accepted;
    return answer.status == 409 ? OrderOutcome::RefusedFence : OrderOutcome::Failed;
}

ServiceAnswer HttpPlainService::call(const ServiceCall& call, milliseconds timeout)
{
    auto http = serviceExchange(call, timeout);
    http.method = call.method;
    http.path = call.path;
    http.contentType = call.contentType;
    http.body = call.body;
    auto answer = exchange(http);
    if (answer.delivery == Delivery::NotSent)
        return {};
    if (answer.delivery == Delivery::Broken)
        return { ServiceOutcome::Unknown, 0, {}, {} };
    if (answer.status == 412 && answer.header("X-Fencing-Refused") == "true")
        return { ServiceOutcome::RefusedFence, answer.status, {}, {} };
    return { ServiceOutcome::Answered, answer.status, answer.header("Content-Type"), std::move(answer.body) };
}

LookupAnswer HttpPlainService::lookup(const ServiceCall& call, milliseconds timeout)
{
    auto http = serviceExchange(call, timeout);
    http.method = "GET";
    http.path = "/actions/" + internal::encodePathSegment(call.idempotencyKey);
    http.isIdempotent = true;
    auto answer = exchange(http);
    if (answer.isWhole(404))
        return { LookupOutcome::NotFound, {} };
    if (!answer.isWhole(200))
        return {};
    return { LookupOutcome::Found,
        { ServiceOutcome::Answered, recordedStatus(answer), answer.header("Content-Type"), std::move(answer.body) } };
}

} // namespace jacinthspindle
