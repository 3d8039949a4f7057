#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "dispatch/admission.h"
#include "dispatch/engine_registry.h"
#include "dispatch/engine_subsetting.h"
#include "dispatch/fleet_view.h"
#include "dispatch/quota_pool.h"
#include "dispatch/request_quarantine.h"
#include "dispatch/retry_budget.h"
#include "gateway/catalogue.h"
#include "gateway/engine_connection_pool.h"
#include "gateway/flow_context.h"
#include "gateway/flow_log.h"
#include "gateway/node_settings.h"
#include "gateway/protocol.h"
#include "gateway/record_catch_up.h"
#include "gateway/record_decoder.h"
#include "gateway/record_source.h"
#include "gateway/request_durations.h"
#include "gateway/request_flow.h"
#include "gateway/source_monitor.h"
#include "gateway/transfer_pacer.h"
#include "gateway/udp_socket.h"
#include "http1/deferred_deleter.h"
#include "http1/listener.h"
#include "http1/memory_budget.h"
#include "http1/server_connection.h"
#include "observe/metric_registry.h"
#include "transport/http_client.h"
#include "transport/reactor_timer.h"

#include <ace/Reactor.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace comfreypass::gateway {

/**
 * A node of the gateway: accepts callers' requests, selects engines from the published records and
 * the state of its peers, and forwards the requests. All nodes are equal; there is no coordinator.
 * Not thread-safe.
 */
class gateway_node final : public http1::server_events, public record_source_events
{
public:
    /** All reference arguments must outlive the node. */
    gateway_node(ACE_Reactor &reactor, node_settings settings, const protocol &callerProtocol,
                 const record_decoder &decoder, record_source &records,
                 observe::metric_registry &metrics);
    ~gateway_node() override;

    /** Opens the sockets for callers and peers and starts the periodic work. Error: Io. */
    core::result<void> start();

    /** Starts a graceful shutdown: leaves the list of caller addresses and drains requests. */
    void leave();

    /** Returns true once the node may be destroyed after leave(). */
    bool hasLeft() const;

    /** Returns true while callers may use this node. */
    bool ready() const noexcept { return m_catalogue.routes() != nullptr && !m_leaving; }

    /** Returns up to `maxCount` addresses for a caller in a failure domain, the nearest first. */
    std::vector<std::string> callerAddresses(std::string_view domain, std::size_t maxCount);

    /** Adds seeds from changed settings. */
    void updateSeeds(const std::vector<std::uint32_t> &seeds);

    /** Returns the encoded records that a peer with these revisions is missing. */
    std::string recordsSince(std::span<const dispatch::record_revision> revisions) const;

    /**
     * Returns the encoded records for a peer, or nothing if this node is sending as many records as
     * its link carries and the peer should try another node.
     */
    std::optional<std::string> serveRecords(std::span<const dispatch::record_revision> revisions);

    /** Updates the gauges in the metric registry. */
    void refreshMetrics();

    /** Destroys the objects that ended within an event. Must be called between events. */
    void purge() { m_deleter.purge(); }

private:
    class peer_fetch;

    void onRequest(http1::server_connection &connection, http1::message_head head,
                   std::string body) override;
    void onCallerDisconnected(http1::server_connection &connection) override;
    void onOutputSent(http1::server_connection &connection) override;
    void onClosed(http1::server_connection &connection) override;

    void onWritten(collection_id collection, dispatch::published_record record) override;
    void onRemoved(collection_id collection, std::string_view key,
                   dispatch::record_revision revision) override;
    void onSnapshot(collection_id collection, std::vector<dispatch::published_record> records,
                    dispatch::record_revision revision) override;
    void onAvailability(collection_id collection, bool available, std::string_view detail) override;

    bool makeRoomForConnection();
    bool closeLingering();
    bool closeOldestIdle(core::time_point now);
    void manageMemory(core::time_point now);
    void onAccepted(http1::socket_handle socket);
    void onDatagram(const http1::endpoint &from, std::string_view bytes);
    void onFlowDone(core::request_id id, const flow_record &record);
    void onCatalogueChanged();
    void onPeerStatus(const http1::endpoint &from, dispatch::node_status received);
    void forwardUpdate(const record_update &update);
    dispatch::record_revision revisionOf(collection_id collection) const;
    core::duration startDelay(core::time_point now) const;
    void updateSourceReading(core::time_point now);

    void onPeerEngineUpdate(const http1::endpoint &from, const dispatch::engine_update &update);
    void sendEngineUpdates();
    void sendEngineUpdatesSoon();
    void onEngineRefused(const dispatch::engine_entry &engine, core::time_point now);
    void onPeerQuarantine(const http1::endpoint &from, const peer_quarantine_report &received);
    void sendQuarantineNews();
    void repeatQuarantineReport(bool full);

    void sendToPeers(std::string_view bytes);
    void sendStatus();
    dispatch::node_status buildStatus(bool full);
    void addChangedUsage(dispatch::node_status &target, bool full);
    core::duration statusInterval() const;
    void tick();
    void cleanup();
    void catchUpWithPeers(core::time_point now);
    void fetchFromPeer(std::uint32_t peer);
    void notifyPeersBehind();
    /** Returns the time before the kill at which unfinished requests are ended. */
    core::duration killMargin() const;
    /** Returns the time at which unfinished requests are ended; unlimited unless leaving. */
    core::time_point requestsEndAt() const;
    void endRequests(core::time_point now);
    void startQueued(const std::string &upstream, dispatch::poll_trigger trigger);
    void startAllQueued();
    /** Starts queued requests of coordinated upstreams whose slots a peer has reported free. */
    void startQueuedAfterPeerUpdate();
    request_flow *findFlow(core::request_id id);
    request_flow *flowOf(http1::server_connection &connection);
    void logPeer(std::string_view event, std::string_view message, std::uint32_t address);

    ACE_Reactor &m_reactor;
    node_settings m_settings;
    record_source &m_records;
    observe::metric_registry &m_metrics;
    std::uint64_t m_incarnation;
    std::minstd_rand m_random;

    http1::memory_budget m_callerMemory;
    http1::deferred_deleter m_deleter;
    http1::server_limits m_limits;
    dispatch::engine_registry m_registry;
    dispatch::fleet_view m_fleet;
    dispatch::engine_subsetting m_subsetting;
    dispatch::admission m_admission;
    dispatch::caller_age m_callerAges;
    dispatch::quota_pool m_quotas;
    dispatch::retry_budget m_retries;
    dispatch::request_quarantine m_quarantine;
    engine_connection_pool m_engineConnections;
    engine_prober m_engineProber;
    catalogue m_catalogue;
    flow_log m_log;
    request_durations m_durations;
    flow_context m_context;

    http1::listener m_listener;
    udp_socket m_peerSocket;
    transport::http_client m_peerClient;
    std::map<http1::server_connection *, std::shared_ptr<http1::server_connection>> m_connections;
    std::unordered_map<http1::server_connection *, core::request_id> m_flowOfConnection;
    std::unordered_map<core::request_id, std::shared_ptr<request_flow>> m_flows;
    core::request_id m_lastRequestId = 0;
    /** Sequence number of the last datagram that carried one. */
    std::uint64_t m_sequence = 0;
    std::uint64_t m_statusCount = 0;
    bool m_engineUpdatesPending = false;
    /** Statuses that are still followed by a report on quarantined requests. */
    std::uint64_t m_quarantineRepeats = 0;
    std::uint64_t m_suspectedCrashes = 0;
    struct reported_usage
    {
        double total = 0;
        std::uint64_t changedAt = 0;
    };
    /** Last reported totals, with the status count at which each changed. */
    std::map<std::string, reported_usage> m_reportedUsage;
    core::time_point m_nextPeerCheckAt{};
    record_catch_up m_catchUp;
    core::time_point m_configurationFetchAllowedAt{};
    transfer_pacer m_recordTransfers;
    core::time_point m_startedAt{};
    source_monitor m_source;
    bool m_startingQueued = false;
    /** Largest use of memory since free memory was last returned to the system, in bytes. */
    std::size_t m_peakCallerMemory = 0;
    core::time_point m_memoryTrimAllowedAt{};
    core::time_point m_memoryLogAllowedAt{};
    std::uint64_t m_loggedMemoryRefusals = 0;
    /** Connections that were closed when they were accepted. */
    std::uint64_t m_rejectedConnections = 0;

    bool m_leaving = false;
    core::time_point m_leavingSince{};

    transport::reactor_timer m_statusTimer;
    transport::reactor_timer m_engineUpdateTimer;
    transport::reactor_timer m_tickTimer;
    transport::reactor_timer m_cleanupTimer;
};

} // namespace comfreypass::gateway
