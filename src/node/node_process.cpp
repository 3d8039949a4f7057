#include "node/node_process.h"

#include "membership/incarnation_order.h"
#include "node/operator_api.h"
#include "node/peer_keys.h"
#include "transport/reactor_timer.h"
#include "transport/signal_watch.h"

#include <boost/log/trivial.hpp>

#include <chrono>
#include <optional>
#include <random>
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

} // namespace

node_process::node_process(sheet::settings settings) : m_settings(std::move(settings)) { }

core::result<void> node_process::run()
{
    std::random_device entropy;
    core::incarnation life = newIncarnation(entropy());
    for (;;) {
        const core::result<entry_node::defect> ended = runLife(life);
        if (!ended)
            return ended.error();
        if (ended.value() == entry_node::defect::None)
            return boost::outcome_v2::success();
        if (ended.value() == entry_node::defect::Superseded)
            return core::error{core::errc::Conflict, m_settings.name.text(),
                               "another process runs under this node's name",
                               "give each node a name of its own"};
        // The wall clock was set back since the last start; votes and claims of the low incarnation
        // are void, so the node starts again above the one that its peers know.
        constexpr unsigned secondsShift = 32;
        life += core::incarnation{1} << secondsShift;
    }
}

core::result<entry_node::defect> node_process::runLife(core::incarnation life)
{
    std::random_device entropy;
    std::optional<transport::curve_settings> keys;
    if (m_settings.peerKeys) {
        core::result<transport::curve_settings> read = readPeerKeys(*m_settings.peerKeys);
        if (!read)
            return read.error();
        keys = std::move(read).value();
    }
    entry_node node(m_reactor.get(), m_settings, life, entropy(), std::move(keys));
    node.onEvent([this](const membership::membership_event &event) { logEvent(event); });
    node.onRecord([this](const request_record &record) { m_decisions.add(record); });
    operator_api operators(m_reactor.get(), node, m_decisions, {});

    if (core::result<void> started = node.start(); !started)
        return started.error();
    if (const core::result<std::uint16_t> bound = operators.listen(); !bound)
        return bound.error();
    BOOST_LOG_TRIVIAL(info) << "event=started node=" << m_settings.name.text()
                            << " callers=" << m_settings.listen.callers << " incarnation=" << life;

    const transport::signal_watch signals(m_reactor.get(), [&node] {
        BOOST_LOG_TRIVIAL(info) << "event=draining";
        node.beginDrain();
    });
    // Draining ends by time as well as by requests, so the reactor is woken to look.
    transport::reactor_timer wakeUp(m_reactor.get(), [] {});
    wakeUp.startRepeating(drainCheckInterval);
    m_reactor.runUntil(
        [&node] { return node.drained() || node.foundDefect() != entry_node::defect::None; });
    BOOST_LOG_TRIVIAL(info) << "event=stopped requests=" << node.totals().requests;
    return node.foundDefect();
}

void node_process::logEvent(const membership::membership_event &event)
{
    BOOST_LOG_TRIVIAL(info) << "event=" << toString(event.kind)
                            << " node=" << event.node.name.text()
                            << " revision=" << event.sheet.revision << " detail=\"" << event.detail
                            << '"';
}

} // namespace comfreypass::node
