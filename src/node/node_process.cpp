#include "node/node_process.h"

#include "membership/incarnation_order.h"
#include "node/node_metrics.h"
#include "node/operator_api.h"
#include "node/peer_keys.h"
#include "observe/log_setup.h"
#include "observe/metric_registry.h"
#include "transport/clock.h"
#include "transport/reactor_timer.h"
#include "transport/signal_watch.h"

#include <ace/Log_Msg.h>
#include <boost/core/null_deleter.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <iostream>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

namespace comfreypass::node {

namespace {

constexpr core::duration drainCheckInterval = std::chrono::milliseconds(100);

core::incarnation newIncarnation(std::uint64_t random)
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(sinceEpoch).count();
    return membership::makeIncarnation(static_cast<std::uint64_t>(seconds), random);
}

observe::log_format formatOf(const sheet::settings &settings)
{
    return settings.log.format == sheet::settings::log_format::Json ? observe::log_format::Json
                                                                    : observe::log_format::Text;
}

observe::log_level levelOf(const sheet::settings &settings)
{
    switch (settings.log.level) {
    case sheet::settings::log_level::Debug:
        return observe::log_level::Debug;
    case sheet::settings::log_level::Info:
        return observe::log_level::Info;
    case sheet::settings::log_level::Warning:
        return observe::log_level::Warning;
    case sheet::settings::log_level::Error:
        break;
    }
    return observe::log_level::Error;
}

observe::log_level levelOf(membership::event_kind kind)
{
    using membership::event_kind;
    switch (kind) {
    case event_kind::Suspect:
    case event_kind::Dead:
    case event_kind::SheetConflict:
    case event_kind::SheetRejected:
    case event_kind::Paused:
    case event_kind::IncarnationRaised:
        return observe::log_level::Warning;
    case event_kind::Superseded:
        return observe::log_level::Error;
    default:
        return observe::log_level::Info;
    }
}

std::string_view messageOf(membership::event_kind kind)
{
    static constexpr std::array<std::string_view, 12> messages = {
        "member joined",
        "member is suspected to have failed",
        "member is dead",
        "member is leaving",
        "member has returned",
        "dead member was removed",
        "new sheet is active",
        "two different sheets have the same revision",
        "sheet was rejected",
        "process was paused",
        "node needs a greater incarnation number",
        "another process uses this node's name",
    };
    return messages.at(static_cast<std::size_t>(kind));
}

// The field "node" of each log line holds the node that writes it, so the subject is "member".
void logMembership(const membership::membership_event &event)
{
    observe::logEvent(levelOf(event.kind), toString(event.kind), messageOf(event.kind),
                      {{"member", event.node.name.text()},
                       {"revision", std::to_string(event.sheet.revision)},
                       {"detail", event.detail}});
}

std::string metricsText(observe::metric_registry &registry, node_metrics &metrics,
                        const entry_node &node)
{
    metrics.refresh(node, transport::monotonicNow());
    std::ostringstream text;
    registry.writeText(text, std::chrono::system_clock::now());
    return text.str();
}

} // namespace

node_process::node_process(sheet::settings settings) : m_settings(std::move(settings)) { }

core::result<void> node_process::run()
{
    // Disables ACE messages: it reports each interrupted wait on standard error, amid the log
    // lines.
    ACE_LOG_MSG->priority_mask(0, ACE_Log_Msg::PROCESS);
    const observe::log_setup log(
        formatOf(m_settings), levelOf(m_settings), m_settings.name.text(),
        boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    std::random_device entropy;
    core::incarnation incarnation = newIncarnation(entropy());
    for (;;) {
        const core::result<entry_node::stop_reason> ended = runIncarnation(incarnation);
        if (!ended)
            return ended.error();
        if (ended.value() == entry_node::stop_reason::None)
            return boost::outcome_v2::success();
        if (ended.value() == entry_node::stop_reason::Superseded)
            return core::error{core::errc::Conflict, m_settings.name.text(),
                               "another process uses this node's name",
                               "configure a unique name for each node"};
        // The wall clock was set back since the last start. Votes and claims of the lower
        // incarnation are invalid, so the node restarts with a number above the one its peers know.
        constexpr unsigned secondsShift = 32;
        incarnation += core::incarnation{1} << secondsShift;
    }
}

core::result<entry_node::stop_reason> node_process::runIncarnation(core::incarnation incarnation)
{
    std::random_device entropy;
    std::optional<transport::curve_settings> keys;
    if (m_settings.peerKeys) {
        core::result<transport::curve_settings> read = readPeerKeys(*m_settings.peerKeys);
        if (!read)
            return read.error();
        keys = std::move(read).value();
    }
    observe::metric_registry registry({m_settings.name, incarnation});
    node_metrics metrics(registry);
    entry_node node(m_reactor.get(), m_settings, incarnation, entropy(), std::move(keys));
    node.onEvent(logMembership);
    node.onRecord([this, &metrics](const request_record &record) {
        m_decisions.add(record);
        metrics.onRecord(record);
    });
    operator_api operators(m_reactor.get(), node, m_decisions,
                           [&] { return metricsText(registry, metrics, node); });

    if (core::result<void> started = node.start(); !started)
        return started.error();
    if (const core::result<std::uint16_t> bound = operators.listen(); !bound)
        return bound.error();
    observe::logEvent(
        observe::log_level::Info, "started", "node started",
        {{"callers", m_settings.listen.callers}, {"incarnation", std::to_string(incarnation)}});

    const transport::signal_watch signals(m_reactor.get(), [&node] {
        observe::logEvent(observe::log_level::Info, "draining", "node is draining");
        node.beginDrain();
    });
    // Draining can end by the passage of time alone, so a timer wakes the reactor to check for it.
    transport::reactor_timer wakeUp(m_reactor.get(), [] {});
    wakeUp.startRepeating(drainCheckInterval);
    m_reactor.runUntil(
        [&node] { return node.drained() || node.stopReason() != entry_node::stop_reason::None; });
    observe::logEvent(observe::log_level::Info, "stopped", "node stopped",
                      {{"requests", std::to_string(node.totals().requests)}});
    return node.stopReason();
}

} // namespace comfreypass::node
