// Copying of headers.

#include "router/Headers.h"

#include <charconv>
#include <cstdio>

namespace jacinthspindle::router {

namespace {

    using std::chrono::milliseconds;

    // Of an endpoint that states nothing.
    constexpr milliseconds usualIdleLimit { 2000 };
    constexpr milliseconds longestIdleLimit { 10000 };
    // An endpoint may close a connection while the next request is on its way; a second's margin avoids most of that.
    constexpr milliseconds idleMargin { 1000 };

    bool concernsConnection(http::field name)
    {
        switch (name) {
        case http::field::connection:
        case http::field::keep_alive:
        case http::field::proxy_connection:
        case http::field::proxy_authenticate:
        case http::field::proxy_authorization:
        case http::field::te:
        case http::field::trailer:
        case http::field::transfer_encoding:
        case http::field::upgrade:
        case http::field::expect:
        case http::field::content_length:
            return true;
        default:
            return false;
        }
    }

    bool isNamedByConnection(const http::fields& fields, beast::string_view name)
    {
        return http::token_list(fields[http::field::connection]).exists(name);
    }

    std::string secondsText(Duration duration)
    {
        char text[32];
        std::snprintf(text, sizeof text, "%.3f", std::chrono::duration<double>(duration).count());
        return text;
    }

    template <typename Fields> void copyFields(const http::fields& from, Fields& to)
    {
        for (const auto& it : from) {
            if (!concernsConnection(it.name()) && !isNamedByConnection(from, it.name_string()))
                to.insert(it.name(), it.name_string(), it.value());
        }
    }

} // namespace

http::request<http::string_body> forwardRequest(const HeaderNames& names, const ForwardedRequest& request)
{
    const auto& caller = *request.caller;
    http::request<http::string_body> out { caller.method(), caller.target(), 11 };
    out.method_string(caller.method_string());
    copyFields(caller.base(), out);
    out.erase(http::field::authorization);
    for (const auto* it : { names.workspace, names.expectedInstance, names.chain, names.priority })
        out.erase(it);
    out.set(names.deadline, std::to_string(std::max<int64_t>(1, request.timeLeft.count())));
    out.set(names.expectedInstance, request.instance);
    if (!request.workspace.isEmpty())
        out.set(names.workspace, request.workspace.value());
    if (!request.chain.empty())
        out.set(names.chain, request.chain);
    if (request.priority)
        out.set(names.priority, std::to_string(*request.priority));
    if (request.lastEvent)
        out.set(names.lastEvent, std::to_string(*request.lastEvent));
    out.body() = caller.body();
    if (!out.body().empty() || caller.count(http::field::content_length) || caller.chunked())
        out.content_length(out.body().size());
    return out;
}

http::response_header<> forwardResponseHeader(const http::response_header<>& from)
{
    http::response_header<> out;
    out.version(11);
    out.result(from.result_int());
    out.reason(from.reason());
    copyFields(from, out);
    return out;
}

http::response<http::string_body> errorAnswer(const HeaderNames& names, ResultCode code, unsigned status,
    const std::string& wireId, std::optional<Duration> retryAfter)
{
    http::response<http::string_body> answer { static_cast<http::status>(status), 11 };
    if (!wireId.empty())
        answer.set(names.requestId, wireId);
    if (retryAfter)
        answer.set(http::field::retry_after, secondsText(*retryAfter));
    answer.set(http::field::content_type, "text/plain");
    answer.body() = std::string(resultName(code)) + "\n";
    answer.prepare_payload();
    return answer;
}

std::optional<std::string> chainText(const RoutingView& view, const Chain& chain)
{
    std::string text;
    for (const auto& hop : chain) {
        const auto* endpoint = view.findEndpoint(hop.endpoint);
        if (!endpoint)
            return std::nullopt;
        if (!text.empty())
            text += ',';
        text += endpoint->address + '=' + std::to_string(hop.layers.first) + '-' + std::to_string(hop.layers.end);
    }
    return text;
}

std::optional<Duration> retryAfterOf(const http::response_header<>& header)
{
    constexpr double mostSeconds = 86400;
    auto value = header[http::field::retry_after];
    double seconds = 0;
    auto parsed = std::from_chars(value.data(), value.data() + value.size(), seconds);
    bool isNumber = parsed.ec == std::errc() && parsed.ptr == value.data() + value.size();
    if (!isNumber || !(seconds > 0))
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(seconds, mostSeconds)));
}

milliseconds idleLimitOf(const http::response_header<>& header)
{
    auto value = header[http::field::keep_alive];
    auto at = value.find("timeout=");
    if (at == beast::string_view::npos)
        return usualIdleLimit;
    value.remove_prefix(at + std::string_view("timeout=").size());
    int64_t seconds = 0;
    if (std::from_chars(value.data(), value.data() + value.size(), seconds).ec != std::errc())
        return usualIdleLimit;
    return std::clamp(
        milliseconds(std::min<int64_t>(seconds, 3600) * 1000) - idleMargin, milliseconds(0), longestIdleLimit);
}

} // namespace jacinthspindle::router
