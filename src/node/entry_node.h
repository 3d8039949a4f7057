#pragma once

#include "core/incarnation.h"
#include "core/result.h"
#include "membership/membership_agent.h"
#include "node/claim_client.h"
#include "node/configuration_reader.h"
#include "node/engine_directory.h"
#include "node/instance_list_reader.h"
#include "node/load_poller.h"
#include "node/local_mailbox.h"
#include "node/message_sender.h"
#include "node/node_totals.h"
#include "node/permit_client.h"
#include "node/request_reader.h"
#include "node/request_record.h"
#include "node/routing_table.h"
#include "node/scheduler_host.h"
#include "node/session_context.h"
#include "sheet/settings.h"
#include "transport/http_client.h"
#include "transport/http_handler.h"
#include "transport/http_server.h"
#include "transport/peer_handler.h"
#include "transport/peer_transport.h"
#include "transport/reactor_timer.h"

#include <ace/Reactor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace comfreypass::node {

/**
 * An entry node: connects the membership, scheduling and idempotency libraries to callers,
 * upstreams, the platform and other nodes. Runs entirely on the reactor's thread. Not thread-safe.
 */
class entry_node : private transport::http_handler,
                   private transport::peer_handler,
                   private message_sender
{
public:
    /** Receives membership events, for logging. */
    using event_function = std::function<void(const membership::membership_event &)>;
    using record_function = std::function<void(const request_record &)>;

    /** Why the node cannot continue to run under its current identity. */
    enum class stop_reason : std::uint8_t {
        None,
        /** Another process uses the same node name. */
        Superseded,
        /** An earlier incarnation has a greater number; the node must restart above it. */
        IncarnationTooLow,
    };

    /**
     * The reactor must outlive the node. `seed` initialises the random number generator. Without
     * `peerKeys`, connections between nodes are neither encrypted nor authenticated.
     */
    entry_node(ACE_Reactor &reactor, sheet::settings settings, core::incarnation incarnation,
               std::uint64_t seed, std::optional<transport::curve_settings> peerKeys = {});
    ~entry_node() override;

    /** Opens the sockets and starts the periodic work. Errors: Io, InvalidArgument. */
    core::result<void> start();

    /** Set the functions that are called for each membership event and for each ended request;
     * either may be empty. Precondition: start() was not called. */
    void onEvent(event_function function) { m_onEvent = std::move(function); }
    void onRecord(record_function function) { m_onRecord = std::move(function); }

    /** Starts to leave the fleet: address responses no longer list the node, but it continues to
     * serve requests until it is drained. */
    void beginDrain();
    bool draining() const noexcept { return m_drainBegan.has_value(); }
    /** Returns true when no cached address response can list this node and no request is open. */
    bool drained() const;

    stop_reason stopReason() const noexcept { return m_stopReason; }

    membership::membership_agent::readiness ready() const;
    const membership::membership_agent &membership() const noexcept { return m_membership; }
    const scheduler_host &schedulers() const noexcept { return m_schedulers; }
    const permit_client &permits() const noexcept { return m_permits; }
    const claim_client &claims() const noexcept { return m_claims; }
    const engine_directory &engines() const noexcept { return m_engines; }
    const transport::peer_counters &peerCounters() const { return m_peers.counters(); }
    const node_totals &totals() const noexcept { return m_totals; }
    const core::node_identity &identity() const noexcept { return m_self; }
    std::size_t openSessions() const noexcept { return m_openSessions; }
    std::size_t openConnections() const noexcept { return m_callers.openConnections(); }
    std::uint64_t configurationReads() const noexcept { return m_configuration.reads(); }
    const sheet::settings &settings() const noexcept { return m_settings; }

private:
    void onRequest(std::shared_ptr<transport::http_exchange> exchange) override;
    void onPeerMessage(wire::received_message &&message) override;
    void send(const core::node_name &to, wire::peer_message message) override;

    void dispatchMessage(const core::node_identity &from, wire::peer_message &&body);
    void apply(membership::agent_actions actions);
    void applyEvent(const membership::membership_event &event);
    void tick();
    void updateView();
    void applySheet();
    void onConfiguration(const configuration_reader::reading &reading);
    void onInstances(const instance_listing &listing);
    void pingSeeds(core::time_point now);
    void pollLoad(core::time_point now);

    void respondWithAddresses(transport::http_exchange &exchange);
    void startSession(std::shared_ptr<transport::http_exchange> exchange);
    idempotency::witness_token witnessToken();
    dispatch_permission dispatchPermission(core::time_point now) const;
    void onSessionEnded(const request_record &record);

    ACE_Reactor &m_reactor;
    sheet::settings m_settings;
    core::node_identity m_self;
    std::mt19937_64 m_random;
    core::time_point m_startedAt;

    local_mailbox m_mailbox;
    transport::http_client m_client;
    transport::peer_transport m_peers;
    membership::membership_agent m_membership;
    permit_client m_permits;
    claim_client m_claims;
    scheduler_host m_schedulers;
    engine_directory m_engines;
    std::shared_ptr<const sheet::sheet> m_sheet;
    std::shared_ptr<const routing_table> m_routes;
    configuration_reader m_configuration;
    instance_list_reader m_instances;
    load_poller m_load;
    session_context m_sessionContext;
    transport::http_server m_callers;
    transport::reactor_timer m_tick;

    event_function m_onEvent;
    record_function m_onRecord;
    std::optional<std::uint64_t> m_viewDigest;
    std::size_t m_listedCount = 0;
    core::time_point m_nextSeedPing;
    std::optional<core::time_point> m_drainBegan;
    std::size_t m_openSessions = 0;
    stop_reason m_stopReason = stop_reason::None;
    node_totals m_totals;
};

} // namespace comfreypass::node
