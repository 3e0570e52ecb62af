// Completion requests.

#include "daemon/CompletionHandler.h"

#include "daemon/HttpHeaders.h"

namespace jacinthspindle::daemon {

namespace {

    std::string eventText(const std::string& id, const std::string& data, const char* name = nullptr)
    {
        std::string text;
        text.reserve(id.size() + data.size() + 32);
        if (name)
            text.append("event: ").append(name).append("\n");
        if (!id.empty())
            text.append("id: ").append(id).append("\n");
        text.append("data: ").append(data).append("\n\n");
        return text;
    }

    FinishReason finishReasonOf(const ModelStream& stream)
    {
        return stream.tokens() >= stream.maxTokens() ? FinishReason::Length : FinishReason::Stop;
    }

} // namespace

CompletionHandler::CompletionHandler(TrafficContext& context)
    : m_context(context)
{
}

Problem CompletionHandler::problemOf(const RequestEnd& end, const RequestId& request)
{
    m_context.metrics.addResult(end.code);
    return { end.code, end.ran, end.detail, end.retryAfter, request };
}

void CompletionHandler::handle(CompletionForm form, const httplib::Request& request, httplib::Response& response,
    const std::shared_ptr<void>& handle)
{
    Reason reason;
    auto headers = readCallerHeaders(request, reason);
    std::optional<CompletionRequest> body;
    if (headers)
        body = parseCompletion(form, request.body, reason);
    if (!body)
        return setProblem(response, problemOf({ reason.code, Execution::NotRun, {}, reason.text }, {}));

    ModelQuery query;
    query.workspace = headers->workspace;
    query.route = body->route;
    query.prompt = std::move(body->prompt);
    query.maxTokens = body->maxTokens;
    query.seed = body->seed;
    query.deadline = headers->deadline;
    query.lastEventId = request.get_header_value("Last-Event-ID");
    auto stream = std::make_shared<ModelStream>(m_context, std::move(query));
    auto span = m_context.identities.childOf(headers->traceParent);
    response.set_header("traceparent", span.text());
    response.set_header("X-Request-Id", stream->request().value());
    recordTraceParent(m_context.trace, stream->request(), span.text());
    if (auto end = stream->open())
        return setProblem(response, problemOf(*end, stream->request()));

    CompletionIdentity identity { form, stream->answerId(), body->route,
        std::chrono::floor<std::chrono::seconds>(m_context.clock.wallNow()).time_since_epoch().count() };
    if (body->isStream)
        answerStream(response, stream, identity, handle);
    else
        answerWhole(response, *stream, identity);
}

void CompletionHandler::answerStream(httplib::Response& response, const std::shared_ptr<ModelStream>& stream,
    const CompletionIdentity& identity, const std::shared_ptr<void>& handle)
{
    response.set_header("Cache-Control", "no-store");
    response.set_chunked_content_provider(
        "text/event-stream", [this, stream, identity, handle](size_t, httplib::DataSink& sink) {
            auto send = [&sink](const std::string& text) { return sink.write(text.data(), text.size()); };
            bool isFirst = !stream->isResumed();
            ChunkWriter writer(identity);
            auto end = stream->run([&](const StreamToken& token) {
                auto chunk = writer.tokenChunk(token.text, isFirst);
                isFirst = false;
                return send(eventText(token.cursor, chunk));
            });
            if (end.code == ResultCode::CallerGone) {
                m_context.metrics.addResult(end.code);
                return false;
            }
            if (end.code != ResultCode::Ok)
                send(eventText(stream->lastCursor(), problemJson(problemOf(end, stream->request())), "error"));
            else {
                m_context.metrics.addResult(ResultCode::Ok);
                send(eventText(stream->lastCursor(), writer.finishChunk(isFirst, finishReasonOf(*stream))));
                send(eventText(stream->lastCursor(), "[DONE]"));
            }
            sink.done();
            return true;
        });
}

void CompletionHandler::answerWhole(
    httplib::Response& response, ModelStream& stream, const CompletionIdentity& identity)
{
    std::string text;
    auto end = stream.run([&](const StreamToken& token) {
        text += token.text;
        return true;
    });
    if (end.code != ResultCode::Ok)
        return setProblem(response, problemOf(end, stream.request()));
    m_context.metrics.addResult(ResultCode::Ok);
    response.set_content(answerJson(identity, text, finishReasonOf(stream), { stream.promptTokens(), stream.tokens() }),
        "application/json");
}

} // namespace jacinthspindle::daemon
