#include "standin/instance_list.h"

#include "standin/json_reply.h"
#include "transport/clock.h"
#include "transport/http_server.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/outcome/success_failure.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <span>
#include <utility>

namespace comfreypass::standin {

using transport::http_exchange;

namespace {

constexpr std::array<std::string_view, 5> nodeFields
    = {"name", "peer_address", "caller_address", "failure_domain", "state"};
constexpr std::array<std::string_view, 6> engineFields
    = {"name", "upstream", "address", "failure_domain", "generation", "state"};

bool isInstance(const boost::json::value &value, std::span<const std::string_view> fields)
{
    const boost::json::object *object = value.if_object();
    if (object == nullptr)
        return false;
    const auto isText = [object](std::string_view name) {
        const boost::json::value *field = object->if_contains(name);
        return field != nullptr && field->is_string();
    };
    if (!std::ranges::all_of(fields, isText))
        return false;
    const boost::json::string &state = object->at("state").get_string();
    return state == "live" || state == "leaving";
}

bool isList(const boost::json::object &document, std::string_view name,
            std::span<const std::string_view> fields)
{
    const boost::json::value *list = document.if_contains(name);
    return list != nullptr && list->is_array()
           && std::ranges::all_of(list->get_array(), [fields](const boost::json::value &value) {
                  return isInstance(value, fields);
              });
}

} // namespace

class instance_list::implementation : public transport::http_handler
{
public:
    implementation(ACE_Reactor &reactor, instance_list_settings settings)
        : m_settings(std::move(settings)), m_server(reactor, m_settings.http, *this)
    {
        m_versions.push_back({transport::monotonicNow(), R"({"nodes":[],"engines":[]})"});
    }

    core::result<std::uint16_t> listen() { return m_server.listen(); }
    std::uint16_t port() const noexcept { return m_server.port(); }
    std::uint64_t calls() const noexcept { return m_calls; }
    void setLag(core::duration lag) { m_settings.lag = lag; }
    void setDown(bool down) { m_down = down; }

    core::result<void> put(std::string_view document);
    void onRequest(std::shared_ptr<http_exchange> exchange) override;

private:
    struct version
    {
        core::time_point time;
        std::string document;
    };

    void read(http_exchange &exchange);
    void write(http_exchange &exchange);
    void control(http_exchange &exchange);

    instance_list_settings m_settings;
    bool m_down = false;
    std::uint64_t m_calls = 0;
    /** The visible version, followed by newer ones. */
    std::deque<version> m_versions;
    transport::http_server m_server;
};

core::result<void> instance_list::implementation::put(std::string_view document)
{
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse(document, error);
    if (error)
        return core::error{core::errc::ParseFailed, "", error.message(), "send a JSON object"};
    if (!value.is_object())
        return core::error{core::errc::ValidationFailed, "/", "must be an object", ""};
    if (!isList(value.get_object(), "nodes", nodeFields))
        return core::error{core::errc::ValidationFailed, "/nodes",
                           "must be a list of nodes with state live or leaving", ""};
    if (!isList(value.get_object(), "engines", engineFields))
        return core::error{core::errc::ValidationFailed, "/engines",
                           "must be a list of engines with state live or leaving", ""};
    if (m_settings.lag == core::duration::zero())
        m_versions.clear();
    m_versions.push_back({transport::monotonicNow(), std::string(document)});
    return boost::outcome_v2::success();
}

void instance_list::implementation::onRequest(std::shared_ptr<http_exchange> exchange)
{
    const std::string target = exchange->request().method + " " + exchange->request().path;
    if (target == "GET /v1/instances")
        read(*exchange);
    else if (target == "PUT /control/instances")
        write(*exchange);
    else if (target == "POST /control")
        control(*exchange);
    else if (target == "GET /counters")
        respondJson(*exchange, 200, {{"calls", m_calls}});
    else
        respondError(*exchange, 404, "unknown path");
}

void instance_list::implementation::read(http_exchange &exchange)
{
    ++m_calls;
    if (m_down) {
        exchange.abort();
        return;
    }
    const core::time_point visibleSince = transport::monotonicNow() - m_settings.lag;
    while (m_versions.size() > 1 && m_versions[1].time <= visibleSince)
        m_versions.pop_front();
    exchange.respond(200, {{"Content-Type", "application/json"}}, m_versions.front().document);
}

void instance_list::implementation::write(http_exchange &exchange)
{
    const auto stored = put(exchange.request().body);
    if (stored)
        respondJson(exchange, 200, boost::json::object());
    else
        respondError(exchange, 400, core::describe(stored.error()));
}

void instance_list::implementation::control(http_exchange &exchange)
{
    const boost::json::object body = bodyObject(exchange);
    if (const boost::json::value *lag = body.if_contains("lag_ms")) {
        boost::json::error_code error;
        const auto milliseconds = lag->to_number<std::uint32_t>(error);
        if (error) {
            respondError(exchange, 400, "lag_ms is a number of milliseconds");
            return;
        }
        setLag(std::chrono::milliseconds(milliseconds));
    }
    if (const boost::json::value *down = body.if_contains("down"); down && down->is_bool())
        setDown(down->get_bool());
    respondJson(exchange, 200, boost::json::object());
}

instance_list::instance_list(ACE_Reactor &reactor, instance_list_settings settings)
    : m_implementation(std::make_unique<implementation>(reactor, std::move(settings)))
{ }

instance_list::~instance_list() = default;

core::result<std::uint16_t> instance_list::listen()
{
    return m_implementation->listen();
}

std::uint16_t instance_list::port() const noexcept
{
    return m_implementation->port();
}

core::result<void> instance_list::put(std::string_view document)
{
    return m_implementation->put(document);
}

void instance_list::setLag(core::duration lag)
{
    m_implementation->setLag(lag);
}

void instance_list::setDown(bool down)
{
    m_implementation->setDown(down);
}

std::uint64_t instance_list::calls() const noexcept
{
    return m_implementation->calls();
}

} // namespace comfreypass::standin
