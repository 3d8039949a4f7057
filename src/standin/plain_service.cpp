#include "standin/plain_service.h"

#include "standin/json_reply.h"
#include "transport/http_server.h"
#include "transport/reactor_timer.h"

#include <boost/json/object.hpp>

#include <algorithm>
#include <chrono>
#include <unordered_map>
#include <utility>

namespace comfreypass::standin {

using transport::http_exchange;

class plain_service::implementation : public transport::http_handler
{
public:
    implementation(ACE_Reactor &reactor, plain_service_settings settings)
        : m_reactor(reactor), m_settings(std::move(settings)),
          m_server(reactor, m_settings.http, *this)
    { }

    core::result<std::uint16_t> listen() { return m_server.listen(); }
    std::uint16_t port() const noexcept { return m_server.port(); }
    const plain_service_counters &counters() const noexcept { return m_counters; }
    void setLatency(core::duration latency) { m_settings.latency = latency; }
    void failNext(std::uint32_t count) { m_remainingFailures = count; }
    void loseReplies(std::uint32_t count) { m_remainingLostReplies = count; }

    void onRequest(std::shared_ptr<http_exchange> exchange) override;

private:
    using exchange_pointer = std::shared_ptr<http_exchange>;
    using route = void (implementation::*)(const exchange_pointer &);

    void delay(const exchange_pointer &exchange, route handler);
    void book(const exchange_pointer &exchange);
    void listSlots(const exchange_pointer &exchange);
    void reportCounters(const exchange_pointer &exchange);
    void control(const exchange_pointer &exchange);
    bool fail(http_exchange &exchange);
    static std::string bookingKey(const http_exchange &exchange);

    ACE_Reactor &m_reactor;
    plain_service_settings m_settings;
    plain_service_counters m_counters;
    std::uint32_t m_remainingFailures = 0;
    std::uint32_t m_remainingLostReplies = 0;
    std::uint64_t m_lastRequest = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<transport::reactor_timer>> m_delayed;
    transport::http_server m_server;
};

void plain_service::implementation::onRequest(std::shared_ptr<http_exchange> exchange)
{
    const std::string target = exchange->request().method + " " + exchange->request().path;
    if (target == "GET /counters")
        return reportCounters(exchange);
    if (target == "POST /control")
        return control(exchange);
    if (const auto id = exchange->request().headers.find("X-Request-Id"))
        ++m_counters.requestIds[std::string(*id)];
    exchange->setEvents(
        {}, [this](bool complete) { m_counters.callersDisconnected += complete ? 0 : 1; });
    if (target == "POST /bookings")
        return delay(exchange, &implementation::book);
    if (target == "GET /slots")
        return delay(exchange, &implementation::listSlots);
    respondError(*exchange, 404, "unknown path");
}

void plain_service::implementation::delay(const exchange_pointer &exchange, route handler)
{
    const std::uint64_t id = ++m_lastRequest;
    auto timer
        = std::make_unique<transport::reactor_timer>(m_reactor, [this, id, exchange, handler] {
              const auto finishedTimer = m_delayed.extract(id);
              (this->*handler)(exchange);
          });
    timer->startOnce(m_settings.latency);
    m_delayed.emplace(id, std::move(timer));
}

std::string plain_service::implementation::bookingKey(const http_exchange &exchange)
{
    const boost::json::object body = bodyObject(exchange);
    const boost::json::value *key = body.if_contains("key");
    if (key != nullptr && key->is_string())
        return std::string(key->get_string());
    return std::string(exchange.request().headers.find("Idempotency-Key").value_or(""));
}

bool plain_service::implementation::fail(http_exchange &exchange)
{
    if (m_remainingFailures == 0)
        return false;
    --m_remainingFailures;
    ++m_counters.failures;
    respondError(exchange, 500, "injected failure");
    return true;
}

void plain_service::implementation::book(const exchange_pointer &exchange)
{
    if (fail(*exchange))
        return;
    const std::string key = bookingKey(*exchange);
    if (key.empty()) {
        respondError(*exchange, 400, "a booking needs a key");
        return;
    }
    const std::uint32_t runs = ++m_counters.bookingRuns[key];
    ++m_counters.bookings;
    if (m_remainingLostReplies > 0) {
        --m_remainingLostReplies;
        ++m_counters.lostReplies;
        exchange->abort();
        return;
    }
    respondJson(*exchange, 201, {{"booking", m_counters.bookings}, {"key", key}, {"runs", runs}});
}

void plain_service::implementation::listSlots(const exchange_pointer &exchange)
{
    if (fail(*exchange))
        return;
    ++m_counters.slotQueries;
    const std::uint64_t booked = std::min<std::uint64_t>(m_counters.bookings, m_settings.slots);
    respondJson(*exchange, 200, {{"free", m_settings.slots - booked}});
}

void plain_service::implementation::reportCounters(const exchange_pointer &exchange)
{
    boost::json::object runs;
    for (const auto &[key, count] : m_counters.bookingRuns)
        runs[key] = count;
    boost::json::object ids;
    for (const auto &[id, count] : m_counters.requestIds)
        ids[id] = count;
    respondJson(*exchange, 200,
                {{"booking_runs", runs},
                 {"request_ids", ids},
                 {"bookings", m_counters.bookings},
                 {"look_ups", m_counters.slotQueries},
                 {"failures", m_counters.failures},
                 {"lost_replies", m_counters.lostReplies},
                 {"callers_gone", m_counters.callersDisconnected}});
}

void plain_service::implementation::control(const exchange_pointer &exchange)
{
    using setter = void (*)(implementation &, std::uint32_t);
    static const std::unordered_map<std::string, setter> setters = {
        {"latency_ms",
         [](implementation &self, std::uint32_t value) {
             self.setLatency(std::chrono::milliseconds(value));
         }},
        {"fail",
         [](implementation &self, std::uint32_t value) {
             self.failNext(value);
         }},
        {"lose_replies",
         [](implementation &self, std::uint32_t value) {
             self.loseReplies(value);
         }},
    };
    for (const auto &[name, value] : bodyObject(*exchange)) {
        const auto found = setters.find(std::string(name));
        boost::json::error_code error;
        const auto number = value.to_number<std::uint32_t>(error);
        if (found == setters.end() || error) {
            respondError(*exchange, 400, "latency_ms, fail and lose_replies take a count");
            return;
        }
        found->second(*this, number);
    }
    respondJson(*exchange, 200, boost::json::object());
}

plain_service::plain_service(ACE_Reactor &reactor, plain_service_settings settings)
    : m_implementation(std::make_unique<implementation>(reactor, std::move(settings)))
{ }

plain_service::~plain_service() = default;

core::result<std::uint16_t> plain_service::listen()
{
    return m_implementation->listen();
}

std::uint16_t plain_service::port() const noexcept
{
    return m_implementation->port();
}

const plain_service_counters &plain_service::counters() const noexcept
{
    return m_implementation->counters();
}

void plain_service::setLatency(core::duration latency)
{
    m_implementation->setLatency(latency);
}

void plain_service::failNext(std::uint32_t count)
{
    m_implementation->failNext(count);
}

void plain_service::loseReplies(std::uint32_t count)
{
    m_implementation->loseReplies(count);
}

} // namespace comfreypass::standin
