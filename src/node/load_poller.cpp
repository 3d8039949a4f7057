#include "node/load_poller.h"

#include <boost/json.hpp>

#include <utility>

namespace comfreypass::node {

namespace {

namespace json = boost::json;

constexpr core::duration pollTimeout = std::chrono::milliseconds(800);
constexpr std::size_t maxPageBytes = 65'536;

bool hasNoLoadPage(unsigned status)
{
    constexpr unsigned notFound = 404;
    constexpr unsigned methodNotAllowed = 405;
    constexpr unsigned notImplemented = 501;
    return status == notFound || status == methodNotAllowed || status == notImplemented;
}

} // namespace

core::result<scheduling::load_report> parseLoadReport(const core::engine_name &engine,
                                                      std::string_view text)
{
    json::error_code code;
    const json::value document = json::parse(json::string_view(text.data(), text.size()), code);
    if (code)
        return core::error{core::errc::ParseFailed, "", code.message(), ""};
    const json::object *object = document.if_object();
    const json::value *epoch = object ? object->if_contains("epoch") : nullptr;
    const json::value *cold = object ? object->if_contains("cold") : nullptr;
    if (!epoch || !cold || !cold->is_bool())
        return core::error{core::errc::ValidationFailed, "", "needs epoch and cold", ""};

    scheduling::load_report report;
    report.engine = engine;
    report.engineEpoch = epoch->to_number<std::uint64_t>(code);
    if (code)
        return core::error{core::errc::ValidationFailed, "/epoch", "must be a number", ""};
    report.cold = cold->get_bool();
    const auto optionalCount = [&](const char *key) {
        json::error_code ignored;
        const json::value *value = object->if_contains(key);
        const std::uint32_t count = value ? value->to_number<std::uint32_t>(ignored) : 0;
        return ignored ? 0 : count;
    };
    report.running = optionalCount("running");
    report.queuedTokens = optionalCount("queued_tokens");
    return report;
}

load_poller::load_poller(transport::http_client &client, report_function report)
    : m_client(client), m_report(std::move(report))
{ }

void load_poller::tick(std::span<const sheet::engine_info> engines, core::time_point now)
{
    for (const sheet::engine_info &engine : engines) {
        core::time_point &nextPoll = m_nextPoll[engine.name];
        if (now < nextPoll)
            continue;
        nextPoll = now + interval;
        poll(engine, now);
    }
    std::erase_if(m_nextPoll, [&](const auto &entry) { return entry.second + interval < now; });
}

void load_poller::poll(const sheet::engine_info &engine, core::time_point now)
{
    transport::http_call call;
    call.url = "http://" + engine.address + "/load";
    call.deadline = now + pollTimeout;
    auto done = [this, alive = std::weak_ptr<bool>(m_alive), name = engine.name,
                 upstream = engine.upstream](const core::result<http_fetch::response> &response) {
        if (alive.expired() || !response)
            return;
        if (hasNoLoadPage(response.value().status)) {
            scheduling::load_report none;
            none.engine = name;
            m_report(upstream, none);
            return;
        }
        const core::result<scheduling::load_report> report
            = parseLoadReport(name, response.value().body);
        if (report)
            m_report(upstream, report.value());
    };
    m_client.start(std::move(call), std::make_shared<http_fetch>(maxPageBytes, done));
}

} // namespace comfreypass::node
