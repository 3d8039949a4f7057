#include "standin/model_engine.h"

#include "standin/engine_request.h"
#include "standin/json_reply.h"
#include "standin/prefix_cache.h"
#include "standin/response_text.h"
#include "transport/clock.h"
#include "transport/http_server.h"
#include "transport/reactor_timer.h"

#include <boost/json/object.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace comfreypass::standin {

using transport::http_exchange;

class model_engine::implementation : public transport::http_handler
{
public:
    implementation(ACE_Reactor &reactor, model_engine_settings settings)
        : m_settings(std::move(settings)),
          m_cache(m_settings.prefixBlockTokens, m_settings.prefixCacheBlocks),
          m_cold(m_settings.startCold), m_step(reactor, [this] { step(); }),
          m_server(reactor, m_settings.http, *this)
    {
        recordLoad();
    }

    core::result<std::uint16_t> listen() { return m_server.listen(); }
    std::uint16_t port() const noexcept { return m_server.port(); }
    const model_engine_counters &counters() const noexcept { return m_counters; }
    bool cold() const noexcept { return m_cold; }
    std::uint64_t epoch() const noexcept { return m_epoch; }
    std::uint32_t openRequests() const noexcept
    {
        return static_cast<std::uint32_t>(m_running.size() + m_waiting.size());
    }

    void onRequest(std::shared_ptr<http_exchange> exchange) override;
    void setCold(bool cold);
    void setLatencyFactor(double factor) { m_latencyFactor = std::max(factor, 0.01); }
    bool setFailure(const std::string &mode);
    void restart();

private:
    using request_pointer = std::shared_ptr<engine_request>;
    using route = void (implementation::*)(const std::shared_ptr<http_exchange> &);

    enum class failure : std::uint8_t { None, Status, Close, Truncate, Hang };

    /** State that GET /load returns, with the time of the sample. */
    struct load_sample
    {
        core::time_point time;
        std::uint64_t epoch = 0;
        bool cold = false;
        std::size_t running = 0;
        std::size_t waiting = 0;
        std::uint64_t queuedTokens = 0;
        std::size_t cachedBlocks = 0;
    };

    /** Data of an earlier stream that POST /v1/resume needs. */
    struct resumable_stream
    {
        chat_request chat;
        std::uint32_t cachedTokens = 0;
    };

    void chat(const std::shared_ptr<http_exchange> &exchange);
    void resume(const std::shared_ptr<http_exchange> &exchange);
    void reportLoad(const std::shared_ptr<http_exchange> &exchange);
    void reportCounters(const std::shared_ptr<http_exchange> &exchange);
    void control(const std::shared_ptr<http_exchange> &exchange);

    bool failImmediately(http_exchange &exchange);
    void admit(const request_pointer &request);
    void step();
    void prefill();
    void decode(const request_pointer &request);
    void sendToken(engine_request &request, const std::string &token);
    void truncate(const request_pointer &request);
    void complete(const request_pointer &request);
    void onCallerDisconnected(const request_pointer &request);
    bool remove(const request_pointer &request);
    void recordStream(const engine_request &request);
    double latencyFactor() const;
    core::duration stepLength() const;
    std::uint64_t queuedTokens() const;
    void recordLoad();

    model_engine_settings m_settings;
    model_engine_counters m_counters;
    prefix_cache m_cache;
    bool m_cold;
    double m_latencyFactor = 1;
    failure m_failure = failure::None;
    std::uint64_t m_epoch = 1;
    std::uint64_t m_lastStream = 0;
    std::uint32_t m_responsesWhileCold = 0;
    bool m_collapsed = false;
    std::deque<request_pointer> m_waiting;
    std::vector<request_pointer> m_running;
    std::vector<request_pointer> m_hanging;
    std::unordered_map<std::string, resumable_stream> m_streams;
    std::deque<std::string> m_streamOrder;
    std::deque<load_sample> m_load;
    transport::reactor_timer m_step;
    transport::http_server m_server;
};

void model_engine::implementation::onRequest(std::shared_ptr<http_exchange> exchange)
{
    static const std::unordered_map<std::string, route> routes = {
        {"POST /v1/chat/completions", &implementation::chat},
        {"POST /v1/resume", &implementation::resume},
        {"GET /load", &implementation::reportLoad},
        {"GET /counters", &implementation::reportCounters},
        {"POST /control", &implementation::control},
    };
    const auto found = routes.find(exchange->request().method + " " + exchange->request().path);
    if (found == routes.end())
        respondError(*exchange, 404, "unknown path");
    else
        (this->*found->second)(exchange);
}

void model_engine::implementation::chat(const std::shared_ptr<http_exchange> &exchange)
{
    ++m_counters.received;
    if (const auto id = exchange->request().headers.find("X-Request-Id"))
        ++m_counters.requestIds[std::string(*id)];
    if (failImmediately(*exchange))
        return;
    auto parsed = chat_request::parse(exchange->request().body);
    if (!parsed) {
        respondError(*exchange, 400, core::describe(parsed.error()));
        return;
    }
    auto request = std::make_shared<engine_request>();
    request->exchange = exchange;
    request->chat = std::move(parsed).value();
    request->stream = "stream-" + std::to_string(m_epoch) + "-" + std::to_string(++m_lastStream);
    request->seed = responseSeed(request->chat.prompt);
    if (m_failure == failure::Truncate)
        request->failure = engine_request::fault::Truncate;
    if (m_failure == failure::Hang)
        request->failure = engine_request::fault::Hang;
    request->remainingPrefillTokens = request->chat.promptTokens();
    recordStream(*request);
    admit(request);
}

bool model_engine::implementation::failImmediately(http_exchange &exchange)
{
    if (m_failure != failure::Status && m_failure != failure::Close)
        return false;
    ++m_counters.failed;
    if (m_failure == failure::Status)
        respondError(exchange, 500, "injected failure");
    else
        exchange.abort();
    return true;
}

void model_engine::implementation::resume(const std::shared_ptr<http_exchange> &exchange)
{
    const boost::json::object body = bodyObject(*exchange);
    const boost::json::value *stream = body.if_contains("stream");
    const boost::json::value *nextToken = body.if_contains("next_token");
    boost::json::error_code error;
    const auto tokenIndex = nextToken == nullptr ? 0U : nextToken->to_number<std::uint32_t>(error);
    if (stream == nullptr || !stream->is_string() || nextToken == nullptr || error) {
        respondError(*exchange, 400, "stream and next_token are needed");
        return;
    }
    const auto found = m_streams.find(std::string(stream->get_string()));
    if (found == m_streams.end() || tokenIndex > found->second.chat.maxTokens) {
        respondError(*exchange, 404, "the stream is not remembered");
        return;
    }
    ++m_counters.resumed;
    auto request = std::make_shared<engine_request>();
    request->exchange = exchange;
    request->chat = found->second.chat;
    request->chat.stream = true;
    request->cachedTokens = request->chat.promptTokens();
    request->stream = found->first;
    request->seed = responseSeed(request->chat.prompt);
    request->nextToken = tokenIndex;
    admit(request);
}

void model_engine::implementation::admit(const request_pointer &request)
{
    const std::weak_ptr<engine_request> weakRequest = request;
    request->exchange->setEvents(
        [weakRequest] {
            if (const auto request = weakRequest.lock())
                request->writable = true;
        },
        [this, weakRequest](bool complete) {
            const auto request = weakRequest.lock();
            if (request != nullptr && !complete)
                onCallerDisconnected(request);
        });
    if (request->failure == engine_request::fault::Hang) {
        m_hanging.push_back(request);
        return;
    }
    m_waiting.push_back(request);
    m_counters.maxOpenRequests = std::max(m_counters.maxOpenRequests, openRequests());
    if (m_cold)
        m_counters.maxOpenRequestsWhileCold
            = std::max(m_counters.maxOpenRequestsWhileCold, openRequests());
    recordLoad();
    if (!m_step.active())
        m_step.startOnce(stepLength());
}

void model_engine::implementation::step()
{
    while (!m_waiting.empty() && m_running.size() < m_settings.slots) {
        const request_pointer request = m_waiting.front();
        m_waiting.pop_front();
        if (request->remainingPrefillTokens > 0) {
            // The last prompt token is always computed, since it yields the first output token.
            request->cachedTokens
                = std::min(m_cache.match(request->chat.prompt), request->chat.promptTokens() - 1);
            request->remainingPrefillTokens -= request->cachedTokens;
            m_counters.cachedTokens += request->cachedTokens;
        }
        m_running.push_back(request);
    }
    std::vector<request_pointer> decoding;
    std::ranges::copy_if(
        m_running, std::back_inserter(decoding),
        [](const request_pointer &request) { return request->remainingPrefillTokens <= 0; });
    prefill();
    for (const request_pointer &request : decoding)
        decode(request);
    recordLoad();
    if (openRequests() > 0)
        m_step.startOnce(stepLength());
}

void model_engine::implementation::prefill()
{
    std::vector<engine_request *> prefilling;
    for (const request_pointer &request : m_running) {
        if (request->remainingPrefillTokens > 0)
            prefilling.push_back(request.get());
    }
    // Shortest first, so that unused budget is available to the longer requests.
    std::ranges::sort(prefilling, {}, &engine_request::remainingPrefillTokens);
    double budget = m_settings.prefillTokensPerSecond
                    * std::chrono::duration<double>(m_settings.stepTime).count();
    for (std::size_t i = 0; i < prefilling.size(); ++i) {
        engine_request &request = *prefilling[i];
        const double share = std::min(request.remainingPrefillTokens,
                                      budget / static_cast<double>(prefilling.size() - i));
        budget -= share;
        request.remainingPrefillTokens -= share;
        request.prefilledTokens += share;
        if (request.remainingPrefillTokens > 0)
            continue;
        m_counters.prefilledTokens
            += static_cast<std::uint64_t>(std::llround(request.prefilledTokens));
        m_cache.insert(request.chat.prompt);
    }
}

void model_engine::implementation::decode(const request_pointer &request)
{
    if (!request->writable || request->exchange->closed())
        return;
    if (request->nextToken < request->chat.maxTokens) {
        sendToken(*request, responseToken(request->seed, request->nextToken));
        ++request->nextToken;
        ++m_counters.generatedTokens;
    }
    if (request->failure == engine_request::fault::Truncate
        && request->nextToken >= (request->chat.maxTokens + 1) / 2)
        truncate(request);
    else if (request->nextToken >= request->chat.maxTokens)
        complete(request);
}

void model_engine::implementation::sendToken(engine_request &request, const std::string &token)
{
    if (!request.chat.stream)
        return;
    if (!std::exchange(request.streamStarted, true))
        request.exchange->beginStream(200, {{"Content-Type", "text/event-stream"},
                                            {"Cache-Control", "no-cache"},
                                            {"X-Stream-Id", request.stream}});
    request.writable = request.exchange->write(request.tokenEvent(token));
}

void model_engine::implementation::truncate(const request_pointer &request)
{
    if (!remove(request))
        return;
    ++m_counters.failed;
    m_counters.wastedPrefillTokens
        += static_cast<std::uint64_t>(std::llround(request->prefilledTokens));
    if (!request->chat.stream) {
        const std::string body = request->responseBody();
        request->exchange->beginStream(200, {{"Content-Type", "application/json"}});
        request->exchange->write(std::string_view(body).substr(0, body.size() / 2));
    }
    request->exchange->abort();
}

void model_engine::implementation::complete(const request_pointer &request)
{
    if (!remove(request))
        return;
    ++m_counters.completed;
    if (m_cold && ++m_responsesWhileCold >= m_settings.warmAfterResponses)
        m_cold = false;
    if (request->streamStarted) {
        request->exchange->write(request->endEvents());
        request->exchange->finish();
        return;
    }
    request->exchange->respond(
        200, {{"Content-Type", "application/json"}, {"X-Stream-Id", request->stream}},
        request->responseBody());
}

void model_engine::implementation::onCallerDisconnected(const request_pointer &request)
{
    std::erase(m_hanging, request);
    if (!remove(request))
        return;
    ++m_counters.cancelled;
    m_counters.wastedPrefillTokens
        += static_cast<std::uint64_t>(std::llround(request->prefilledTokens));
    recordLoad();
}

bool model_engine::implementation::remove(const request_pointer &request)
{
    return std::erase(m_running, request) + std::erase(m_waiting, request) > 0;
}

void model_engine::implementation::recordStream(const engine_request &request)
{
    m_streams[request.stream] = {request.chat, request.cachedTokens};
    m_streamOrder.push_back(request.stream);
    if (m_streamOrder.size() > m_settings.maxResumableStreams) {
        m_streams.erase(m_streamOrder.front());
        m_streamOrder.pop_front();
    }
}

double model_engine::implementation::latencyFactor() const
{
    if (!m_cold)
        return m_latencyFactor;
    const bool collapsed = openRequests() > m_settings.coldRequestLimit;
    return m_latencyFactor * m_settings.coldLatencyFactor
           * (collapsed ? m_settings.collapseLatencyFactor : 1);
}

core::duration model_engine::implementation::stepLength() const
{
    return std::chrono::duration_cast<core::duration>(m_settings.stepTime * latencyFactor()
                                                      / m_settings.speed);
}

std::uint64_t model_engine::implementation::queuedTokens() const
{
    double tokens = 0;
    for (const request_pointer &request : m_waiting)
        tokens += request->remainingPrefillTokens;
    for (const request_pointer &request : m_running)
        tokens += std::max(request->remainingPrefillTokens, 0.0);
    return static_cast<std::uint64_t>(std::llround(tokens));
}

void model_engine::implementation::recordLoad()
{
    const bool collapsed = m_cold && openRequests() > m_settings.coldRequestLimit;
    if (collapsed && !m_collapsed)
        ++m_counters.collapses;
    m_collapsed = collapsed;

    const core::time_point now = transport::monotonicNow();
    m_load.push_back({now, m_epoch, m_cold, m_running.size(), m_waiting.size(), queuedTokens(),
                      m_cache.blocks()});
    // The front is the newest sample that is at least as old as the lag.
    while (m_load.size() > 1 && m_load[1].time + m_settings.loadReportLag <= now)
        m_load.pop_front();
}

void model_engine::implementation::reportLoad(const std::shared_ptr<http_exchange> &exchange)
{
    recordLoad();
    const load_sample &sample = m_load.front();
    respondJson(*exchange, 200,
                {{"epoch", sample.epoch},
                 {"cold", sample.cold},
                 {"running", sample.running},
                 {"waiting", sample.waiting},
                 {"queued_tokens", sample.queuedTokens},
                 {"cached_prefixes", sample.cachedBlocks}});
}

void model_engine::implementation::reportCounters(const std::shared_ptr<http_exchange> &exchange)
{
    boost::json::object ids;
    for (const auto &[id, count] : m_counters.requestIds)
        ids[id] = count;
    respondJson(*exchange, 200,
                {{"request_ids", ids},
                 {"received", m_counters.received},
                 {"completed", m_counters.completed},
                 {"cancelled", m_counters.cancelled},
                 {"failed", m_counters.failed},
                 {"resumed", m_counters.resumed},
                 {"prefilled_tokens", m_counters.prefilledTokens},
                 {"cached_tokens", m_counters.cachedTokens},
                 {"wasted_prefill_tokens", m_counters.wastedPrefillTokens},
                 {"generated_tokens", m_counters.generatedTokens},
                 {"most_requests", m_counters.maxOpenRequests},
                 {"most_requests_while_cold", m_counters.maxOpenRequestsWhileCold},
                 {"collapses", m_counters.collapses}});
}

void model_engine::implementation::control(const std::shared_ptr<http_exchange> &exchange)
{
    const boost::json::object body = bodyObject(*exchange);
    boost::json::error_code error;
    if (const boost::json::value *fail = body.if_contains("fail")) {
        if (!fail->is_string() || !setFailure(std::string(fail->get_string()))) {
            respondError(*exchange, 400, "fail is none, status, close, truncate or hang");
            return;
        }
    }
    if (const boost::json::value *slow = body.if_contains("slow")) {
        const auto factor = slow->to_number<double>(error);
        if (error || !(factor > 0)) {
            respondError(*exchange, 400, "slow is a positive factor");
            return;
        }
        setLatencyFactor(factor);
    }
    const boost::json::value *restartValue = body.if_contains("restart");
    if (restartValue != nullptr && restartValue->is_bool() && restartValue->get_bool())
        restart();
    if (const boost::json::value *cold = body.if_contains("cold"); cold && cold->is_bool())
        setCold(cold->get_bool());
    respondJson(*exchange, 200, {{"epoch", m_epoch}, {"cold", m_cold}});
}

void model_engine::implementation::setCold(bool cold)
{
    if (cold && !m_cold)
        ++m_epoch;
    m_cold = cold;
    m_responsesWhileCold = 0;
    recordLoad();
}

bool model_engine::implementation::setFailure(const std::string &mode)
{
    static const std::unordered_map<std::string, failure> modes = {
        {"none", failure::None},         {"status", failure::Status}, {"close", failure::Close},
        {"truncate", failure::Truncate}, {"hang", failure::Hang},
    };
    const auto found = modes.find(mode);
    if (found == modes.end())
        return false;
    m_failure = found->second;
    return true;
}

void model_engine::implementation::restart()
{
    ++m_epoch;
    m_cold = true;
    m_responsesWhileCold = 0;
    m_cache.clear();
    m_streams.clear();
    m_streamOrder.clear();
    std::vector<request_pointer> failedRequests = std::exchange(m_running, {});
    std::ranges::copy(std::exchange(m_waiting, {}), std::back_inserter(failedRequests));
    for (const request_pointer &request : failedRequests) {
        ++m_counters.failed;
        m_counters.wastedPrefillTokens
            += static_cast<std::uint64_t>(std::llround(request->prefilledTokens));
        request->exchange->abort();
    }
    for (const request_pointer &request : std::exchange(m_hanging, {}))
        request->exchange->abort();
    recordLoad();
}

model_engine::model_engine(ACE_Reactor &reactor, model_engine_settings settings)
    : m_implementation(std::make_unique<implementation>(reactor, std::move(settings)))
{ }

model_engine::~model_engine() = default;

core::result<std::uint16_t> model_engine::listen()
{
    return m_implementation->listen();
}

std::uint16_t model_engine::port() const noexcept
{
    return m_implementation->port();
}

const model_engine_counters &model_engine::counters() const noexcept
{
    return m_implementation->counters();
}

std::uint32_t model_engine::openRequests() const noexcept
{
    return m_implementation->openRequests();
}

bool model_engine::cold() const noexcept
{
    return m_implementation->cold();
}

std::uint64_t model_engine::epoch() const noexcept
{
    return m_implementation->epoch();
}

void model_engine::setCold(bool cold)
{
    m_implementation->setCold(cold);
}

void model_engine::setLatencyFactor(double factor)
{
    m_implementation->setLatencyFactor(factor);
}

bool model_engine::setFailure(const std::string &mode)
{
    return m_implementation->setFailure(mode);
}

void model_engine::restart()
{
    m_implementation->restart();
}

} // namespace comfreypass::standin
