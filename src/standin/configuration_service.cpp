#include "standin/configuration_service.h"

#include "standin/json_reply.h"
#include "transport/clock.h"
#include "transport/http_server.h"
#include "transport/reactor_timer.h"

#include <boost/json/object.hpp>

#include <algorithm>
#include <chrono>
#include <list>
#include <map>
#include <unordered_map>
#include <utility>

namespace comfreypass::standin {

using transport::http_exchange;

class configuration_service::implementation : public transport::http_handler
{
public:
    implementation(ACE_Reactor &reactor, configuration_service_settings settings)
        : m_settings(std::move(settings)), m_expiry(reactor, [this] { completeExpiredWatches(); }),
          m_server(reactor, m_settings.http, *this)
    { }

    core::result<std::uint16_t> listen() { return m_server.listen(); }
    std::uint16_t port() const noexcept { return m_server.port(); }
    std::uint64_t calls() const noexcept { return m_calls; }
    std::size_t pendingWatches() const noexcept { return m_watches.size(); }

    void onRequest(std::shared_ptr<http_exchange> exchange) override;
    std::uint64_t put(const std::string &key, std::string value);
    void setMode(mode value);

private:
    using exchange_pointer = std::shared_ptr<http_exchange>;

    struct entry
    {
        std::uint64_t index = 0;
        std::string text;
    };

    /** A pending long poll for a newer value. */
    struct watch
    {
        exchange_pointer exchange;
        std::string key;
        std::uint64_t after = 0;
        core::time_point deadline;
    };

    void read(const exchange_pointer &exchange, const std::string &key);
    void write(const exchange_pointer &exchange, const std::string &key);
    void control(const exchange_pointer &exchange);
    const entry *findVisible(const std::string &key) const;
    static void respondValue(http_exchange &exchange, const entry &value);
    static void respondUnchanged(http_exchange &exchange, std::uint64_t index);
    void completeChangedWatches();
    void completeExpiredWatches();
    void scheduleExpiry();

    configuration_service_settings m_settings;
    mode m_mode = mode::Normal;
    std::uint64_t m_index = 0;
    std::uint64_t m_calls = 0;
    std::map<std::string, entry> m_values;
    /** The values as they were when the mode became Stale. */
    std::map<std::string, entry> m_staleValues;
    std::list<watch> m_watches;
    transport::reactor_timer m_expiry;
    transport::http_server m_server;
};

void configuration_service::implementation::onRequest(std::shared_ptr<http_exchange> exchange)
{
    static constexpr std::string_view valuePath = "/v1/value/";
    static constexpr std::string_view controlPath = "/control/value/";
    const std::string &method = exchange->request().method;
    const std::string &path = exchange->request().path;
    if (method == "GET" && path.starts_with(valuePath))
        read(exchange, path.substr(valuePath.size()));
    else if (method == "PUT" && path.starts_with(controlPath))
        write(exchange, path.substr(controlPath.size()));
    else if (method == "POST" && path == "/control")
        control(exchange);
    else if (method == "GET" && path == "/counters")
        respondJson(*exchange, 200, {{"calls", m_calls}, {"pending_watches", m_watches.size()}});
    else
        respondError(*exchange, 404, "unknown path");
}

void configuration_service::implementation::read(const exchange_pointer &exchange,
                                                 const std::string &key)
{
    ++m_calls;
    if (m_mode == mode::Down) {
        exchange->abort();
        return;
    }
    const entry *value = findVisible(key);
    if (value == nullptr) {
        respondError(*exchange, 404, "unknown key");
        return;
    }
    const std::uint64_t after = numberArgument(*exchange, "after", 0);
    if (value->index > after) {
        respondValue(*exchange, *value);
        return;
    }
    const auto maxWait = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.maxWait);
    const std::uint64_t wait = std::min(numberArgument(*exchange, "wait_ms", 0),
                                        static_cast<std::uint64_t>(maxWait.count()));
    if (wait == 0) {
        respondUnchanged(*exchange, value->index);
        return;
    }
    const auto position = m_watches.insert(
        m_watches.end(),
        {exchange, key, after, transport::monotonicNow() + std::chrono::milliseconds(wait)});
    exchange->setEvents({}, [this, position](bool) {
        m_watches.erase(position);
        scheduleExpiry();
    });
    scheduleExpiry();
}

void configuration_service::implementation::write(const exchange_pointer &exchange,
                                                  const std::string &key)
{
    if (exchange->request().body.size() > m_settings.maxValueBytes) {
        respondError(*exchange, 413, "the value is too large");
        return;
    }
    respondJson(*exchange, 200, {{"index", put(key, exchange->request().body)}});
}

void configuration_service::implementation::control(const exchange_pointer &exchange)
{
    static const std::unordered_map<std::string, mode> modes
        = {{"normal", mode::Normal}, {"down", mode::Down}, {"stale", mode::Stale}};
    const boost::json::object body = bodyObject(*exchange);
    const boost::json::value *modeName = body.if_contains("mode");
    const auto found = modeName != nullptr && modeName->is_string()
                           ? modes.find(std::string(modeName->get_string()))
                           : modes.end();
    if (found == modes.end()) {
        respondError(*exchange, 400, "mode is normal, down or stale");
        return;
    }
    respondJson(*exchange, 200, boost::json::object());
    setMode(found->second);
}

std::uint64_t configuration_service::implementation::put(const std::string &key, std::string value)
{
    m_values[key] = {++m_index, std::move(value)};
    completeChangedWatches();
    return m_index;
}

void configuration_service::implementation::setMode(mode value)
{
    if (value == mode::Stale)
        m_staleValues = m_values;
    m_mode = value;
    if (value == mode::Down) {
        for (const watch &pending : m_watches)
            pending.exchange->abort();
        return;
    }
    completeChangedWatches();
}

const configuration_service::implementation::entry *
configuration_service::implementation::findVisible(const std::string &key) const
{
    const auto &values = m_mode == mode::Stale ? m_staleValues : m_values;
    const auto found = values.find(key);
    return found == values.end() ? nullptr : &found->second;
}

void configuration_service::implementation::respondValue(http_exchange &exchange,
                                                         const entry &value)
{
    exchange.respond(
        200,
        {{"Content-Type", "application/octet-stream"}, {"X-Index", std::to_string(value.index)}},
        value.text);
}

void configuration_service::implementation::respondUnchanged(http_exchange &exchange,
                                                             std::uint64_t index)
{
    exchange.respond(304, {{"X-Index", std::to_string(index)}}, {});
}

void configuration_service::implementation::completeChangedWatches()
{
    if (m_mode == mode::Down)
        return;
    for (const watch &pending : m_watches) {
        const entry *value = findVisible(pending.key);
        if (value != nullptr && value->index > pending.after)
            respondValue(*pending.exchange, *value);
    }
}

void configuration_service::implementation::completeExpiredWatches()
{
    const core::time_point now = transport::monotonicNow();
    for (watch &pending : m_watches) {
        if (pending.deadline > now)
            continue;
        const entry *value = findVisible(pending.key);
        respondUnchanged(*pending.exchange, value == nullptr ? 0 : value->index);
        // The watch is removed when the response has been sent.
        pending.deadline = core::time_point::max();
    }
    scheduleExpiry();
}

void configuration_service::implementation::scheduleExpiry()
{
    core::time_point next = core::time_point::max();
    for (const watch &pending : m_watches)
        next = std::min(next, pending.deadline);
    if (next == core::time_point::max())
        m_expiry.stop();
    else
        m_expiry.startOnce(next - transport::monotonicNow());
}

configuration_service::configuration_service(ACE_Reactor &reactor,
                                             configuration_service_settings settings)
    : m_implementation(std::make_unique<implementation>(reactor, std::move(settings)))
{ }

configuration_service::~configuration_service() = default;

core::result<std::uint16_t> configuration_service::listen()
{
    return m_implementation->listen();
}

std::uint16_t configuration_service::port() const noexcept
{
    return m_implementation->port();
}

std::uint64_t configuration_service::put(const std::string &key, std::string value)
{
    return m_implementation->put(key, std::move(value));
}

void configuration_service::setMode(mode value)
{
    m_implementation->setMode(value);
}

std::uint64_t configuration_service::calls() const noexcept
{
    return m_implementation->calls();
}

std::size_t configuration_service::pendingWatches() const noexcept
{
    return m_implementation->pendingWatches();
}

} // namespace comfreypass::standin
