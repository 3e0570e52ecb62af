// Routes of the HTTP interface.

#include "daemon/HttpFront.h"

#include "daemon/CompletionHandler.h"
#include "daemon/HttpHeaders.h"
#include "daemon/ServiceHandler.h"
#include "daemon/TrafficServer.h"

#include <atomic>
#include <charconv>
#include <thread>

namespace jacinthspindle::daemon {

namespace {

    constexpr size_t maxTraceAnswer = 8 << 20;
    constexpr std::chrono::milliseconds overflowRetry { 1000 };
    constexpr size_t smallestConnectionQueue = 8;
    constexpr size_t threadsPerQueued = 10;

    TrafficServerLimits limitsFor(uint32_t threads)
    {
        TrafficServerLimits limits;
        limits.threads = threads;
        // A queued connection waits until a stream ends, so the queue is short against the number of streams.
        limits.connectionQueue = std::max<size_t>(smallestConnectionQueue, threads / threadsPerQueued);
        return limits;
    }

} // namespace

class HttpFront::Impl {
public:
    Impl(const FrontContext& context, uint32_t threads)
        : m_context(context)
        , m_completions(context.traffic)
        , m_services(context.traffic, context.ledger)
        , m_server(limitsFor(threads))
    {
        addOperatorRoutes();
        addTrafficRoutes();
        addFaultHandlers();
    }

    bool bind(const SocketAddress& address, Reason& reason)
    {
        m_port = m_server.bind(address.ip, address.port);
        if (m_port)
            return true;
        reason = { ResultCode::SettingsInvalid, "cannot listen on " + address.ip + ":" + std::to_string(address.port) };
        return false;
    }

    uint16_t port() const { return m_port; }

    void start()
    {
        m_thread = std::thread([this] {
            m_server.listen_after_bind();
            m_hasEnded = true;
        });
        // The library ignores a stop that comes before its loop runs.
        while (!m_server.is_running() && !m_hasEnded)
            std::this_thread::yield();
    }

    void stop()
    {
        if (!m_thread.joinable())
            return;
        m_server.closeAfterRequests();
        m_server.stop();
        m_thread.join();
    }

private:
    using Request = httplib::Request;
    using Response = httplib::Response;

    void addOperatorRoutes()
    {
        m_server.Get("/healthz", [this](const Request&, Response& response) {
            bool isHealthy = m_context.isHealthy();
            response.status = isHealthy ? 200 : 503;
            response.set_content(isHealthy ? "ok\n" : "the control thread does not run\n", "text/plain");
        });
        m_server.Get("/readyz", [this](const Request&, Response& response) {
            bool isReady = m_context.isReady();
            response.status = isReady ? 200 : 503;
            response.set_content(isReady ? "ready\n" : "not ready\n", "text/plain");
        });
        m_server.Get("/metrics", [this](const Request&, Response& response) {
            response.set_content(m_context.traffic.metrics.prometheusText(), "text/plain; version=0.0.4");
        });
        m_server.Get("/status", [this](const Request&, Response& response) {
            response.set_content(m_context.statusJson(), "application/json");
        });
        m_server.Post("/drain", [this](const Request&, Response& response) {
            m_context.startDrain();
            response.set_content(m_context.statusJson(), "application/json");
        });
        m_server.Get("/trace", [this](const Request& request, Response& response) { answerTrace(request, response); });
    }

    void answerTrace(const Request& request, Response& response)
    {
        uint64_t from = 0;
        if (request.has_param("after")) {
            auto text = request.get_param_value("after");
            const char* last = text.data() + text.size();
            auto [end, ec] = std::from_chars(text.data(), last, from);
            if (ec != std::errc() || end != last)
                return setProblem(response,
                    { ResultCode::RequestMalformed, Execution::NotRun, "'after' must be a sequence number", {}, {} });
            ++from;
        }
        auto batch = m_context.trace.read(from, maxTraceAnswer);
        response.set_header("X-Trace-Incarnation", std::to_string(m_context.trace.identity().incarnation));
        response.set_content(batch.bytes, "application/msgpack");
    }

    // Counts the request as in progress while the handle lives. Returns nothing on an overflow thread, after refusing.
    std::shared_ptr<void> enter(Response& response)
    {
        if (!BoundedTaskQueue::isOverflow())
            return m_context.lifecycle.enter();
        m_context.traffic.metrics.add(Counter::ConnectionsRefused);
        m_context.traffic.metrics.addResult(ResultCode::QueueFull);
        setProblem(response, { ResultCode::QueueFull, Execution::NotRun, "all threads are busy", overflowRetry, {} });
        return nullptr;
    }

    void addTrafficRoutes()
    {
        auto complete = [this](CompletionForm form) {
            return [this, form](const Request& request, Response& response) {
                if (auto handle = enter(response))
                    m_completions.handle(form, request, response, handle);
            };
        };
        m_server.Post("/v1/chat/completions", complete(CompletionForm::Chat));
        m_server.Post("/v1/completions", complete(CompletionForm::Text));
        auto call = [this](const Request& request, Response& response) {
            if (auto handle = enter(response))
                m_services.handle(request, response);
        };
        const char* pattern = "/r/.*";
        m_server.Get(pattern, call);
        m_server.Post(pattern, call);
        m_server.Put(pattern, call);
        m_server.Patch(pattern, call);
        m_server.Delete(pattern, call);
    }

    void addFaultHandlers()
    {
        // The library would expand compressed bodies without a bound and takes multipart bodies apart.
        m_server.set_pre_routing_handler([](const Request& request, Response& response) {
            bool isEncoded
                = request.has_header("Content-Encoding") && request.get_header_value("Content-Encoding") != "identity";
            if (!isEncoded && !request.is_multipart_form_data())
                return httplib::Server::HandlerResponse::Unhandled;
            setProblem(response,
                { ResultCode::RequestMalformed, Execution::NotRun, "compressed and multipart bodies are not supported",
                    {}, {} });
            response.set_header("Connection", "close");
            return httplib::Server::HandlerResponse::Handled;
        });
        m_server.set_exception_handler([](const Request&, Response& response, const std::exception_ptr& error) {
            Problem problem { ResultCode::RequestMalformed, Execution::Unknown, {}, {}, {} };
            try {
                std::rethrow_exception(error);
            } catch (const std::exception& it) {
                problem.detail = it.what();
            } catch (...) {
                problem.detail = "unknown fault";
            }
            setProblem(response, problem);
        });
        m_server.set_error_handler([](const Request& request, Response& response) {
            if (!response.body.empty())
                return;
            int status = response.status;
            Problem problem { ResultCode::RequestMalformed, Execution::NotRun, {}, {}, {} };
            if (status == 404) {
                problem.code = ResultCode::RouteUnknown;
                problem.detail = "no such path: " + request.path.substr(0, 200);
            }
            if (status == 413)
                problem.code = ResultCode::RequestTooLarge;
            setProblem(response, problem);
            response.status = status;
        });
    }

    const FrontContext m_context;
    CompletionHandler m_completions;
    ServiceHandler m_services;
    TrafficServer m_server;
    uint16_t m_port = 0;
    std::atomic<bool> m_hasEnded { false };
    std::thread m_thread;
};

HttpFront::HttpFront(const FrontContext& context, uint32_t trafficThreads)
    : m_impl(std::make_unique<Impl>(context, trafficThreads))
{
}

HttpFront::~HttpFront()
{
    stop();
}

bool HttpFront::bind(const SocketAddress& address, Reason& reason)
{
    return m_impl->bind(address, reason);
}

uint16_t HttpFront::port() const
{
    return m_impl->port();
}

void HttpFront::start()
{
    m_impl->start();
}

void HttpFront::stop()
{
    m_impl->stop();
}

} // namespace jacinthspindle::daemon
