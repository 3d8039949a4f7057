#include "gateway/gateway_node.h"

#include "dispatch/caller_addresses.h"
#include "gateway/quarantine_log.h"
#include "gateway/status_codec.h"
#include "gateway/value_compression.h"
#include "observe/log_setup.h"
#include "transport/clock.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <sstream>
#include <utility>

namespace comfreypass::gateway {

namespace {

using namespace std::chrono_literals;
using http1::addressText;
using observe::log_level;
using observe::logEvent;
using transport::monotonicNow;

/**
 * Minimum time between two statuses. Until the next one the fleet decides with outdated loads: at
 * 200 requests per second and 9 engines, about three requests per engine arrive in this time.
 */
constexpr core::duration minStatusInterval = 150ms;

/** Added per peer, so that a node's share of the messages stays bounded in a large fleet. */
constexpr core::duration statusIntervalPerPeer = 4ms;

/**
 * Engine updates are batched for this time. A few network latencies between domains: starts and
 * ends of one event loop iteration share a datagram, and peers still learn of them almost
 * immediately.
 */
constexpr core::duration engineUpdateDelay = 4ms;

/** Every n-th status contains all known nodes and the usage of all teams. */
constexpr std::uint64_t statusesPerFullStatus = 16;

/** Changed usage is repeated in this many statuses, so that a lost datagram does not hide it until
 * the next full status. */
constexpr std::uint64_t changedUsageRepeats = 4;

/** A report on quarantined requests follows this many statuses, so that a lost datagram delays it
 * little. */
constexpr std::uint64_t quarantineReportRepeats = 4;

/** Older crashes are reported only to nodes that have just started. */
constexpr core::duration repeatedCrashAge = 1min;

/** Engines whose latency one status reports; a node measures a few between two statuses. */
constexpr std::size_t maxLatenciesPerStatus = 4;

/** Interval of polling the queues; a slot of an engine becomes free every few intervals. */
constexpr core::duration tickInterval = 20ms;

/**
 * Interval per peer of checking subsets, readers of the source and revisions of peers in a large
 * fleet. Each check visits all peers, so its cost per second does not grow with the fleet. A small
 * fleet checks on each tick, so that a node that misses a change notices it sooner.
 */
constexpr core::duration peerCheckIntervalPerPeer = 1ms;
constexpr std::size_t maxPeersCheckedOnEachTick = 128;

/** Interval of checking the timeouts of connections, pooled connections and peers. */
constexpr core::duration cleanupInterval = 250ms;

constexpr core::duration peerFetchTimeout = 1s;

/** A peer of another build may keep a configuration in force that this node cannot read. */
constexpr core::duration configurationFetchInterval = 1s;
constexpr std::size_t maxPeerRecordsBytes = 16'777'216;

/**
 * A node that has just started waits before it reads the source itself, since all nodes may have
 * been started together and each of them would list all records. A seed waits for a few round
 * trips. The others get the records from it; they wait until they know the fleet if a peer reads
 * the source, and for a late seed if none does.
 */
constexpr core::duration startDelayOfSeed = 60ms;
constexpr core::duration startDelayWithoutReader = 250ms;
constexpr core::duration startDelayWithReader = 1s;

/** A larger change is not sent, since its datagram would be fragmented; peers fetch it instead. */
constexpr std::size_t maxUpdateBytes = 1'200;

/** Requests are accepted this long after the stop signal, since callers may cache old addresses. */
constexpr core::duration lateRequestPeriod = 2'500ms;

/** Callers cache addresses for up to three times their TTL. */
constexpr core::duration staleAddressPeriod = 4s;

/**
 * Unfinished requests are ended this long before the process is killed; it exits once their
 * responses are sent. Short grace periods leave a share of them.
 */
constexpr core::duration maxKillMargin = 600ms;
constexpr int killMarginsPerGracePeriod = 8;

/** The process exits within the last part of the margin even if a caller takes no output. */
constexpr int exitMarginsPerKillMargin = 4;

/** Share of the descriptors for callers; the rest is left for engines and peers. */
constexpr int callerDescriptorPercent = 60;

/** Returning less memory than this to the system is not worth the time that it takes. */
constexpr std::size_t minTrimmedBytes = 4'194'304;
constexpr core::duration memoryTrimInterval = 1s;

constexpr core::duration memoryLogInterval = 1s;

/** An idle connection is closed for a new one only after this time, since a request may follow. */
constexpr core::duration minReplacedIdleTime = 1s;

/** A caller's connection is aborted when its unsent output exceeds this. */
constexpr std::size_t maxUnsentBytes = 4'194'304;

std::string millisecondsText(core::duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

std::uint64_t randomIncarnation()
{
    std::random_device entropy;
    return (std::uint64_t{entropy()} << 32U) | entropy();
}

} // namespace

/** Fetches the records of a peer. */
class gateway_node::peer_fetch final : public transport::http_call_events
{
public:
    peer_fetch(gateway_node &node, std::uint32_t peer) : m_node(node), m_peer(peer) { }

    void onHeaders(unsigned status, const transport::http_headers & /*headers*/) override
    {
        m_status = status;
    }

    bool onData(std::string_view bytes) override
    {
        m_body.append(bytes);
        return true;
    }

    void onDone(const transport::http_call_result &result) override
    {
        constexpr unsigned ok = 200;
        constexpr unsigned busy = 503;
        const core::time_point now = monotonicNow();
        const auto records = decodeRecords(m_body, now);
        const bool complete = m_status == ok && result.complete && records.has_value();
        const bool isBusy = m_status == busy && result.complete;
        const std::uint32_t busyPeers = m_node.m_catchUp.busyPeers();
        m_node.m_catchUp.onResult(complete ? fetch_result::Complete
                                  : isBusy ? fetch_result::Busy
                                           : fetch_result::Failed,
                                  m_node.m_random, now);
        if (isBusy)
            return;
        logEvent(complete ? log_level::Info : log_level::Warning, "records_from_peer",
                 complete ? "fetched the published records from a peer"
                          : "could not fetch the published records from a peer",
                 {{"peer", addressText(m_peer)},
                  {"busy_peers", std::to_string(busyPeers)},
                  {"bytes", std::to_string(m_body.size())},
                  {"detail", result.detail}});
        if (!complete)
            return;
        m_node.m_catalogue.onPeerRecords(records.value(), m_peer, now);
        m_node.notifyPeersBehind();
    }

private:
    gateway_node &m_node;
    std::uint32_t m_peer;
    unsigned m_status = 0;
    std::string m_body;
};

gateway_node::gateway_node(ACE_Reactor &reactor, node_settings settings,
                           const protocol &callerProtocol, const record_decoder &decoder,
                           record_source &records, observe::metric_registry &metrics)
    : m_reactor(reactor), m_settings(std::move(settings)), m_records(records), m_metrics(metrics),
      m_incarnation(randomIncarnation()), m_random(static_cast<std::uint32_t>(m_incarnation)),
      m_callerMemory(m_settings.callerMemoryBytes),
      m_registry(m_settings.domain, static_cast<std::uint32_t>(m_random())),
      m_fleet(m_settings.peers.address, m_settings.domain, {}),
      m_subsetting(m_settings.peers.address, m_registry),
      m_admission(m_registry, m_fleet, static_cast<std::uint32_t>(m_random())),
      m_retries({m_settings.retryRatio, m_settings.retryExtra, m_settings.retryWindow}),
      m_quarantine(static_cast<std::uint32_t>(m_random())), m_engineConnections(reactor, m_deleter),
      m_engineProber(
          m_engineConnections, m_registry,
          [this](const dispatch::engine_entry &engine, core::time_point now) {
              onEngineRefused(engine, now);
          },
          [this](const dispatch::engine_entry &engine, core::time_point endedAt) {
              m_quarantine.onEngineAlive(dispatch::engine_registry::keyOf(engine.id), endedAt);
              sendEngineUpdatesSoon();
          }),
      m_catalogue(decoder, m_registry, [this] { onCatalogueChanged(); }),
      m_context{.reactor = reactor,
                .callerProtocol = callerProtocol,
                .registry = m_registry,
                .fleet = m_fleet,
                .admission = m_admission,
                .callerAges = m_callerAges,
                .quotas = m_quotas,
                .retries = m_retries,
                .quarantine = m_quarantine,
                .engineConnections = m_engineConnections,
                .engineProber = m_engineProber,
                .random = m_random,
                .now = [] { return monotonicNow(); },
                .routes = [this] { return m_catalogue.routes(); },
                .durations = m_durations,
                .requestsEndAt = [this] { return requestsEndAt(); },
                .slotFreed =
                    [this](const std::string &upstream) {
                        startQueued(upstream, dispatch::poll_trigger::OwnCompletion);
                    },
                .engineLeaving =
                    [](const dispatch::engine_entry &engine, const flow_record &record) {
                        logEvent(log_level::Info, "engine_leaving",
                                 "an engine states in its responses that it is leaving",
                                 {{"engine", engine.id},
                                  {"upstream", engine.upstream},
                                  {"address", engine.address},
                                  {"stated_in", record.attemptId}});
                    },
                .enginePaused =
                    [](const dispatch::engine_entry &engine, const flow_record &record,
                       core::duration requested, core::duration applied) {
                        logEvent(applied < requested ? log_level::Warning : log_level::Info,
                                 "engine_paused", "an engine asks for a pause of this node",
                                 {{"engine", engine.id},
                                  {"upstream", engine.upstream},
                                  {"requested_ms", millisecondsText(requested)},
                                  {"pause_ms", millisecondsText(applied)},
                                  {"stated_in", record.attemptId}});
                    },
                .pauseIgnored =
                    [](const dispatch::engine_entry &engine, const flow_record &record) {
                        logEvent(log_level::Warning, "engine_pause_ignored",
                                 "an engine asks for a pause of an invalid length",
                                 {{"engine", engine.id},
                                  {"upstream", engine.upstream},
                                  {"stated_in", record.attemptId}});
                    },
                .attemptFailed =
                    [this](const flow_record &record, std::string_view failure) {
                        m_log.onAttemptFailed(record, failure, monotonicNow());
                        m_metrics.add(observe::metric::GatewayAttemptFailures,
                                      {record.upstream, failure});
                    },
                .done =
                    [this](core::request_id id, const flow_record &record) {
                        onFlowDone(id, record);
                    }},
      m_listener(reactor, [this](http1::socket_handle socket) { onAccepted(std::move(socket)); }),
      m_peerSocket(reactor, [this](const http1::endpoint &from,
                                   std::string_view bytes) { onDatagram(from, bytes); }),
      m_peerClient(reactor), m_recordTransfers(m_settings.linkBytesPerSecond),
      m_statusTimer(reactor, [this] { sendStatus(); }),
      m_engineUpdateTimer(reactor, [this] { sendEngineUpdates(); }),
      m_tickTimer(reactor, [this] { tick(); }), m_cleanupTimer(reactor, [this] { cleanup(); })
{ }

gateway_node::~gateway_node()
{
    m_listener.stop();
    m_flows.clear();
    m_connections.clear();
    m_deleter.purge();
}

core::result<void> gateway_node::start()
{
    updateSeeds(m_settings.seeds);
    if (core::result<void> opened = m_peerSocket.open(m_settings.peers); !opened)
        return opened.error();
    if (const auto bound = m_listener.listen(m_settings.callers); !bound)
        return bound.error();
    m_startedAt = monotonicNow();
    sendStatus();
    m_tickTimer.startRepeating(tickInterval);
    m_cleanupTimer.startRepeating(cleanupInterval);
    return boost::outcome_v2::success();
}

void gateway_node::leave()
{
    if (std::exchange(m_leaving, true))
        return;
    m_leavingSince = monotonicNow();
    for (const auto &[pointer, connection] : m_connections)
        connection->closeAfterResponse();
    sendStatus();
}

core::duration gateway_node::killMargin() const
{
    return std::min<core::duration>(maxKillMargin,
                                    m_settings.gracePeriod / killMarginsPerGracePeriod);
}

core::time_point gateway_node::requestsEndAt() const
{
    return m_leaving ? m_leavingSince + m_settings.gracePeriod - killMargin()
                     : core::time_point::max();
}

bool gateway_node::hasLeft() const
{
    if (!m_leaving)
        return false;
    const core::time_point now = monotonicNow();
    if (now >= requestsEndAt() + killMargin() - killMargin() / exitMarginsPerKillMargin)
        return true;
    return m_flows.empty() && now > std::min(m_leavingSince + staleAddressPeriod, requestsEndAt())
           && std::ranges::all_of(
               m_connections, [](const auto &entry) { return entry.second->unsentBytes() == 0; });
}

// Waiting requests go first, so that none of them starts in the slot of one that is ended.
void gateway_node::endRequests(core::time_point now)
{
    std::vector<std::shared_ptr<request_flow>> flows;
    flows.reserve(m_flows.size());
    for (const auto &[id, flow] : m_flows)
        flows.push_back(flow);
    for (const auto &flow : flows)
        flow->refuseIfWaitingTooLong();
    if (now < requestsEndAt())
        return;
    for (const auto &flow : flows)
        flow->endForExit();
}

std::vector<std::string> gateway_node::callerAddresses(std::string_view domain,
                                                       std::size_t maxCount)
{
    std::vector<dispatch::caller_address> ready;
    for (const dispatch::node_status *each : m_fleet.readyPeers(domain, monotonicNow()))
        ready.push_back({each->address, each->callerPort, each->domain == domain});
    if (this->ready())
        ready.push_back(
            {m_settings.callers.address, m_settings.callers.port, m_settings.domain == domain});
    dispatch::selectCallerAddresses(ready, maxCount, m_random);
    std::vector<std::string> addresses;
    addresses.reserve(ready.size());
    for (const dispatch::caller_address &each : ready)
        addresses.push_back(http1::endpoint{each.address, each.port}.text());
    return addresses;
}

void gateway_node::updateSeeds(const std::vector<std::uint32_t> &seeds)
{
    m_fleet.setSeeds(seeds, monotonicNow());
}

std::string gateway_node::recordsSince(std::span<const dispatch::record_revision> revisions) const
{
    return encodeRecords(m_catalogue.collections(), revisions, monotonicNow(),
                         m_catalogue.retainedConfiguration());
}

std::optional<std::string>
gateway_node::serveRecords(std::span<const dispatch::record_revision> revisions)
{
    const core::time_point now = monotonicNow();
    if (!m_recordTransfers.mayStart(now))
        return std::nullopt;
    std::string records = recordsSince(revisions);
    m_recordTransfers.onStart(records.size(), now);
    return records;
}

void gateway_node::refreshMetrics()
{
    using observe::metric;
    const core::time_point now = monotonicNow();
    const dispatch::fleet_share share = m_fleet.share(now);
    m_metrics.set(metric::GatewayPeers, {"known"}, static_cast<double>(share.known - 1));
    m_metrics.set(metric::GatewayPeers, {"in_touch"}, static_cast<double>(share.reachable - 1));
    m_metrics.set(metric::GatewayRunning, {}, static_cast<double>(m_flows.size()));
    m_metrics.set(metric::GatewayWaiting, {}, static_cast<double>(m_admission.queuedCount()));
    m_metrics.set(metric::GatewayPendingPromptTokens, {}, m_registry.pendingPromptTokens());
    m_metrics.set(metric::GatewayEngines, {}, static_cast<double>(m_registry.size()));
    m_metrics.set(metric::GatewayExcludedEngines, {"leaving"},
                  static_cast<double>(m_registry.leavingCount()));
    m_metrics.set(metric::GatewayExcludedEngines, {"paused"},
                  static_cast<double>(m_registry.pausedCount(now)));
    m_metrics.set(
        metric::GatewayQuarantined, {"segments"},
        static_cast<double>(m_quarantine.quarantinedCount(dispatch::feature_kind::Segment, now)));
    m_metrics.set(
        metric::GatewayQuarantined, {"requests"},
        static_cast<double>(m_quarantine.quarantinedCount(dispatch::feature_kind::Request, now)));
    m_metrics.set(metric::GatewaySuspectedCrashes, {}, static_cast<double>(m_suspectedCrashes));
    m_metrics.set(metric::GatewayConnections, {}, static_cast<double>(m_connections.size()));
    m_metrics.set(metric::GatewayCallerMemory, {"used"},
                  static_cast<double>(m_callerMemory.usedBytes()));
    m_metrics.set(metric::GatewayCallerMemory, {"limit"},
                  static_cast<double>(m_callerMemory.limitBytes()));
    const auto &refusals = m_callerMemory.counts();
    m_metrics.set(metric::GatewayCallerMemoryRefusals, {"limit"},
                  static_cast<double>(refusals.refusedByLimit));
    m_metrics.set(metric::GatewayCallerMemoryRefusals, {"address_share"},
                  static_cast<double>(refusals.refusedByShare));
    m_metrics.set(metric::GatewayCallerMemoryRefusals, {"no_progress"},
                  static_cast<double>(refusals.reclaimed));
    m_metrics.set(metric::GatewayCallerMemoryRefusals, {"connections"},
                  static_cast<double>(m_rejectedConnections));
    m_metrics.set(metric::GatewayConfigurationVersion, {},
                  static_cast<double>(m_catalogue.configurationVersion()));
    m_metrics.set(metric::GatewaySlotsYielded, {},
                  static_cast<double>(m_admission.handover().yieldedCount()));
    m_metrics.set(metric::GatewaySlotsReclaimed, {},
                  static_cast<double>(m_admission.handover().reclaimedCount()));
    m_metrics.set(metric::GatewayRecordCalls, {}, static_cast<double>(m_records.calls()));
    m_metrics.set(metric::GatewayLogLinesLeftOut, {}, static_cast<double>(m_log.suppressed()));
}

bool gateway_node::makeRoomForConnection()
{
    const std::size_t maxConnections = m_settings.descriptors * callerDescriptorPercent / 100;
    const core::time_point now = monotonicNow();
    while (m_connections.size() >= maxConnections) {
        if (!closeLingering() && !m_callerMemory.reclaimOldestIncomplete(now)
            && !closeOldestIdle(now))
            return false;
    }
    return true;
}

bool gateway_node::closeOldestIdle(core::time_point now)
{
    http1::server_connection *oldest = nullptr;
    for (const auto &[pointer, connection] : m_connections) {
        if (connection->idle() && now - connection->idleSince() >= minReplacedIdleTime
            && (oldest == nullptr || connection->idleSince() < oldest->idleSince()))
            oldest = pointer;
    }
    if (oldest == nullptr)
        return false;
    oldest->closeIfIdle();
    return true;
}

// A refused caller may keep its connection open for seconds, which a new one needs more.
bool gateway_node::closeLingering()
{
    for (const auto &[pointer, connection] : m_connections) {
        if (connection->closeIfLingering())
            return true;
    }
    return false;
}

// The machine counts the resident set, in which memory that the allocator keeps remains.
void gateway_node::manageMemory(core::time_point now)
{
    const std::size_t used = m_callerMemory.usedBytes();
    m_peakCallerMemory = std::max(m_peakCallerMemory, used);
    if (m_peakCallerMemory - used >= minTrimmedBytes && now >= m_memoryTrimAllowedAt) {
        ::malloc_trim(0);
        m_peakCallerMemory = used;
        m_memoryTrimAllowedAt = now + memoryTrimInterval;
    }
    while (m_callerMemory.usedBytes() > m_callerMemory.limitBytes()
           && m_callerMemory.reclaimOldest(now)) {
    }
    const auto &counts = m_callerMemory.counts();
    const std::uint64_t refusals
        = counts.refusedByLimit + counts.refusedByShare + counts.reclaimed + m_rejectedConnections;
    if (refusals == m_loggedMemoryRefusals || now < m_memoryLogAllowedAt)
        return;
    logEvent(log_level::Warning, "caller_memory",
             "callers were refused, since they hold too much memory or too many connections",
             {{"since_last", std::to_string(refusals - m_loggedMemoryRefusals)},
              {"used_bytes", std::to_string(m_callerMemory.usedBytes())},
              {"limit_bytes", std::to_string(m_callerMemory.limitBytes())},
              {"refused_limit", std::to_string(counts.refusedByLimit)},
              {"refused_share", std::to_string(counts.refusedByShare)},
              {"reclaimed", std::to_string(counts.reclaimed)},
              {"rejected_connections", std::to_string(m_rejectedConnections)},
              {"connections", std::to_string(m_connections.size())}});
    m_loggedMemoryRefusals = refusals;
    m_memoryLogAllowedAt = now + memoryLogInterval;
}

void gateway_node::onAccepted(http1::socket_handle socket)
{
    if (!makeRoomForConnection()) {
        ++m_rejectedConnections;
        return;
    }
    const std::uint32_t address = http1::peerAddress(socket);
    auto connection = std::make_shared<http1::server_connection>(
        m_reactor, std::move(socket), m_limits, m_callerMemory, address,
        [] { return monotonicNow(); }, *this);
    if (m_leaving)
        connection->closeAfterResponse();
    m_connections.emplace(connection.get(), connection);
}

void gateway_node::onRequest(http1::server_connection &connection, http1::message_head head,
                             std::string body)
{
    const core::request_id id = ++m_lastRequestId;
    auto flow = std::make_shared<request_flow>(m_context, id, connection, std::move(head),
                                               std::move(body));
    m_flows.emplace(id, flow);
    m_flowOfConnection[&connection] = id;
    const core::time_point now = monotonicNow();
    const bool tooLate
        = m_leaving && now > std::min(m_leavingSince + lateRequestPeriod, requestsEndAt());
    if (tooLate)
        flow->refuseWhileLeaving();
    else
        flow->begin();
    sendEngineUpdatesSoon();
}

void gateway_node::onCallerDisconnected(http1::server_connection &connection)
{
    if (request_flow *flow = flowOf(connection))
        flow->onCallerDisconnected();
}

void gateway_node::onOutputSent(http1::server_connection &connection)
{
    if (request_flow *flow = flowOf(connection))
        flow->onOutputSent();
}

void gateway_node::onClosed(http1::server_connection &connection)
{
    m_flowOfConnection.erase(&connection);
    const auto found = m_connections.find(&connection);
    if (found == m_connections.end())
        return;
    m_deleter.add(std::move(found->second));
    m_connections.erase(found);
}

void gateway_node::onFlowDone(core::request_id id, const flow_record &record)
{
    m_log.onEnd(record, monotonicNow());
    m_metrics.add(observe::metric::GatewayRequests,
                  {record.upstream, std::to_string(record.priority), toString(record.outcome),
                   record.reason});
    if (record.outcome == flow_outcome::Answered || record.outcome == flow_outcome::TimedOut)
        m_durations.record(record.route, record.total - record.waited);
    const auto tier
        = static_cast<core::tier>(std::min<std::uint32_t>(record.priority, core::lowestTier));
    if (record.outcome == flow_outcome::Answered)
        m_metrics.record(observe::metric::GatewayFirstByte, tier, record.upstream,
                         record.firstByte);
    if (record.callerAge > core::duration::zero())
        m_metrics.record(observe::metric::GatewayCallerAge, tier, record.upstream,
                         record.callerAge);
    if (record.retryAfter > core::duration::zero())
        m_metrics.record(observe::metric::GatewayRetryAfter, tier, record.upstream,
                         record.retryAfter);
    if (record.firstEventError)
        m_metrics.record(observe::metric::GatewayFirstEventError, tier, record.upstream,
                         std::chrono::abs(*record.firstEventError));
    const auto found = m_flows.find(id);
    if (found == m_flows.end())
        return;
    m_deleter.add(std::move(found->second));
    m_flows.erase(found);
}

void gateway_node::onWritten(collection_id collection, dispatch::published_record record)
{
    const core::time_point now = monotonicNow();
    record.readAt = now;
    record.compressedValue = compressValue(record.value);
    const record_update update{.collection = static_cast<std::size_t>(collection),
                               .previous = revisionOf(collection),
                               .record = record,
                               .removed = false};
    m_catalogue.onWritten(collection, std::move(record), now);
    forwardUpdate(update);
}

void gateway_node::onRemoved(collection_id collection, std::string_view key,
                             dispatch::record_revision revision)
{
    const record_update update{.collection = static_cast<std::size_t>(collection),
                               .previous = revisionOf(collection),
                               .record = {std::string(key), revision, ""},
                               .removed = true};
    m_catalogue.onRemoved(collection, key, revision, monotonicNow());
    forwardUpdate(update);
}

dispatch::record_revision gateway_node::revisionOf(collection_id collection) const
{
    return m_catalogue.collections()[static_cast<std::size_t>(collection)].revision();
}

// Each reader forwards to its share of the peers. A peer that misses the message, or whose reader
// is unreachable, detects from the next statuses that it is behind.
void gateway_node::forwardUpdate(const record_update &update)
{
    const std::string bytes = encodeRecordUpdate(update);
    if (bytes.size() > maxUpdateBytes) {
        sendStatus();
        return;
    }
    const dispatch::fleet_view::reader_rank rank = m_fleet.readerRank(monotonicNow());
    std::size_t position = 0;
    for (const std::uint32_t peer : m_fleet.peers()) {
        if (position++ % rank.count == rank.index)
            m_peerSocket.send({peer, m_settings.peers.port}, bytes);
    }
}

void gateway_node::onSnapshot(collection_id collection,
                              std::vector<dispatch::published_record> records,
                              dispatch::record_revision revision)
{
    const core::time_point now = monotonicNow();
    for (dispatch::published_record &record : records) {
        record.readAt = now;
        record.compressedValue = compressValue(record.value);
    }
    const dispatch::record_revision before = revisionOf(collection);
    m_catalogue.onSnapshot(collection, std::move(records), revision, now);
    // Peers that have just started wait for the new revision.
    if (revisionOf(collection) != before)
        sendStatus();
}

void gateway_node::onAvailability(collection_id collection, bool available, std::string_view detail)
{
    logEvent(available ? log_level::Info : log_level::Warning,
             available ? "records_regained" : "records_lost",
             available ? "the source of published records is available"
                       : "the source of published records is unavailable",
             {{"collection", collection == collection_id::Engines ? "engines" : "operators"},
              {"detail", detail}});
    m_source.onAvailability(collection, available);
    sendStatus();
}

core::duration gateway_node::startDelay(core::time_point now) const
{
    if (m_fleet.sourceAvailableAtPeer(now))
        return startDelayWithReader;
    const bool isSeed
        = std::ranges::find(m_settings.seeds, m_settings.peers.address) != m_settings.seeds.end();
    return isSeed ? startDelayOfSeed : startDelayWithoutReader;
}

void gateway_node::updateSourceReading(core::time_point now)
{
    const bool shouldRead = now - m_startedAt >= startDelay(now) && m_fleet.isSourceReader(now);
    if (shouldRead != m_source.reading()) {
        m_source.setReading(shouldRead);
        logEvent(log_level::Info, shouldRead ? "reading_started" : "reading_stopped",
                 shouldRead ? "started reading the published records from the source"
                            : "stopped reading the source; peers provide the published records",
                 {{"in_touch", std::to_string(m_fleet.share(now).reachable)}});
        if (shouldRead)
            m_records.start(*this, m_catalogue.revisions());
        else
            m_records.stop();
    }
    m_catalogue.holdRemovalsUntil(m_source.removalsHeldUntil(m_fleet.sourceAvailableAtPeer(now),
                                                             m_fleet.sourceLostAtPeer(now), now));
}

void gateway_node::onCatalogueChanged()
{
    if (const auto &routes = m_catalogue.routes()) {
        const dispatch::caller_limits &limits = routes->settings().limits;
        m_limits.headerBytes = limits.headerBytes;
        m_limits.bodyBytes = limits.bodyBytes;
        m_limits.readTimeout = limits.headerTimeout;
        m_limits.idleTimeout = limits.idleTimeout;
        m_admission.setCoordinated(
            routes->streamingUpstreams(m_settings.scheduling.coordinateFromObjective));
    }
    startAllQueued();
}

void gateway_node::onDatagram(const http1::endpoint &from, std::string_view bytes)
{
    core::result<peer_message> decoded = decodeMessage(bytes);
    if (!decoded)
        return;
    if (auto *status = std::get_if<dispatch::node_status>(&decoded.value()))
        onPeerStatus(from, std::move(*status));
    else if (const auto *update = std::get_if<record_update>(&decoded.value()))
        m_catalogue.onPeerUpdate(*update, from.address, monotonicNow());
    else if (const auto *update = std::get_if<dispatch::engine_update>(&decoded.value()))
        onPeerEngineUpdate(from, *update);
    else if (const auto *report = std::get_if<peer_quarantine_report>(&decoded.value()))
        onPeerQuarantine(from, *report);
}

void gateway_node::onPeerEngineUpdate(const http1::endpoint &from,
                                      const dispatch::engine_update &update)
{
    if (update.address != from.address || !m_fleet.acceptEngineUpdate(update))
        return;
    for (const dispatch::engine_load &load : update.loads)
        m_registry.setPeerLoad(update.address, load);
    const core::time_point now = monotonicNow();
    for (const dispatch::engine_key key : update.ejected) {
        m_registry.onPeerEjected(key, now);
        m_quarantine.onEngineDown(key, now);
    }
    m_admission.onPeerQueues(update.address, update.queues, now);
    startQueuedAfterPeerUpdate();
    sendEngineUpdatesSoon();
}

void gateway_node::onEngineRefused(const dispatch::engine_entry &engine, core::time_point now)
{
    m_registry.onUnreachable(engine.id, now);
    m_quarantine.onEngineDown(dispatch::engine_registry::keyOf(engine.id), now);
    sendEngineUpdatesSoon();
}

void gateway_node::onPeerQuarantine(const http1::endpoint &from,
                                    const peer_quarantine_report &received)
{
    if (received.address != from.address)
        return;
    const core::time_point now = monotonicNow();
    dispatch::quarantine_report changes;
    for (const dispatch::request_feature &each : received.report.answered) {
        if (m_quarantine.find({&each, 1}, now))
            changes.answered.push_back(each);
    }
    dispatch::quarantine_report result = m_quarantine.onPeerReport(received.report, now);
    changes.quarantined = std::exchange(result.quarantined, {});
    if (!result.empty())
        m_peerSocket.send(from, encodeQuarantineReport({m_settings.peers.address, result}));
    logQuarantine(changes, addressText(from.address));
    sendEngineUpdatesSoon();
}

void gateway_node::sendQuarantineNews()
{
    if (!m_quarantine.hasNews())
        return;
    const dispatch::quarantine_report news = m_quarantine.takeNews();
    logQuarantine(news, "");
    m_suspectedCrashes += news.crashes.size();
    m_quarantineRepeats = quarantineReportRepeats;
    sendToPeers(encodeQuarantineReport({m_settings.peers.address, news}));
}

void gateway_node::repeatQuarantineReport(bool full)
{
    if (!full && m_quarantineRepeats == 0)
        return;
    if (m_quarantineRepeats > 0)
        --m_quarantineRepeats;
    const dispatch::quarantine_report summary
        = m_quarantine.summary(monotonicNow(), repeatedCrashAge);
    if (summary.empty())
        return;
    sendToPeers(encodeQuarantineReport({m_settings.peers.address, summary}));
}

void gateway_node::sendEngineUpdatesSoon()
{
    const bool pending = m_registry.hasPendingUpdates() || m_quarantine.hasNews()
                         || m_admission.hasQueueReports(monotonicNow());
    if (pending && !std::exchange(m_engineUpdatesPending, true))
        m_engineUpdateTimer.startOnce(engineUpdateDelay);
}

void gateway_node::sendEngineUpdates()
{
    m_engineUpdatesPending = false;
    const std::vector<std::uint32_t> peers = m_fleet.peers();
    const std::vector<dispatch::node_status::queue_length> queues
        = m_admission.takeQueueReports(monotonicNow());
    for (auto &[peer, update] : m_subsetting.takeUpdates(peers, queues)) {
        update.address = m_settings.peers.address;
        update.incarnation = m_incarnation;
        update.sequence = ++m_sequence;
        m_peerSocket.send({peer, m_settings.peers.port}, encodeEngineUpdate(update));
    }
    sendQuarantineNews();
}

void gateway_node::onPeerStatus(const http1::endpoint &from, dispatch::node_status received)
{
    // A status contains the address of its sender; a mismatch means that no node sent it.
    if (received.address != from.address)
        return;
    const core::time_point now = monotonicNow();
    const std::uint32_t address = from.address;
    const std::vector<dispatch::engine_load> loads = received.loads;
    const std::vector<dispatch::node_status::queue_length> queues = received.queues;
    const std::uint64_t sequence = received.sequence;
    m_registry.onPeerLatencies(received.latencies);
    const dispatch::status_change change = m_fleet.onStatus(std::move(received), now);
    if (change.isNew)
        logPeer("peer_joined", "received the first status of a node", address);
    else if (change.restarted)
        logPeer("peer_restarted", "node was restarted", address);
    else if (change.returned)
        logPeer("peer_returned", "node is reachable again", address);
    for (const dispatch::node_status::team_usage &use : change.newUsage)
        m_quotas.addPeerUsage(use.team, use.total);
    m_registry.setPeerLoads(address, loads);
    // The view ignores a status that arrives after a later message.
    const auto member = m_fleet.members().find(address);
    if (member != m_fleet.members().end() && member->second.status.sequence == sequence)
        m_admission.onPeerStatus(address, queues, now);
    // A new node learns about the fleet immediately, and one that was cut off what it has missed.
    if (!change.isNew && !change.restarted && !change.returned)
        return;
    if (change.isNew)
        m_peerSocket.send(from, encodeStatus(buildStatus(true)));
    const dispatch::quarantine_report summary = m_quarantine.summary(now);
    if (!summary.empty())
        m_peerSocket.send(from, encodeQuarantineReport({m_settings.peers.address, summary}));
}

void gateway_node::sendToPeers(std::string_view bytes)
{
    for (const std::uint32_t peer : m_fleet.peers())
        m_peerSocket.send({peer, m_settings.peers.port}, bytes);
}

void gateway_node::sendStatus()
{
    const bool full = m_statusCount++ % statusesPerFullStatus == 0;
    dispatch::node_status status = buildStatus(full);
    status.latencies = m_registry.takeNewLatencies(maxLatenciesPerStatus);
    const std::string bytes = encodeStatus(status);
    sendToPeers(bytes);
    for (const std::uint32_t seed : m_fleet.takeForgottenSeeds(monotonicNow()))
        m_peerSocket.send({seed, m_settings.peers.port}, bytes);
    repeatQuarantineReport(full);
    m_admission.onPeerLoadsUpdated();
    const core::duration interval = statusInterval();
    m_fleet.setStatusInterval(interval);
    // On average, half the interval has passed since a peer's last status.
    m_admission.setLoadAge(interval / 2);
    m_quarantine.setNodeCount(m_fleet.share(monotonicNow()).reachable);
    m_statusTimer.startOnce(interval);
}

core::duration gateway_node::statusInterval() const
{
    return std::max<core::duration>(
        minStatusInterval, statusIntervalPerPeer * static_cast<int>(m_fleet.members().size()));
}

// Most statuses omit values that rarely change, since statuses dominate the traffic between nodes.
dispatch::node_status gateway_node::buildStatus(bool full)
{
    dispatch::node_status result;
    result.address = m_settings.peers.address;
    result.incarnation = m_incarnation;
    result.domain = m_settings.domain;
    result.callerPort = m_settings.callers.port;
    result.ready = ready();
    result.leaving = m_leaving;
    result.sequence = ++m_sequence;
    result.revisions = m_catalogue.revisions();
    result.configurationVersion = m_catalogue.configurationVersion();
    result.source = m_source.state();
    result.loads = m_registry.ownLoads();
    addChangedUsage(result, full);
    result.queues = m_admission.queues();
    for (const auto &[address, member] : m_fleet.members()) {
        if (full && member.hasReported)
            result.knownNodes.push_back(address);
    }
    return result;
}

void gateway_node::addChangedUsage(dispatch::node_status &target, bool full)
{
    m_quotas.forEachOwnTotal([&](const std::string &team, double total) {
        reported_usage &reported = m_reportedUsage[team];
        if (reported.total != total)
            reported = {total, m_statusCount};
        if (full || m_statusCount - reported.changedAt < changedUsageRepeats)
            target.teamUsage.push_back({team, total});
    });
}

void gateway_node::tick()
{
    const core::time_point now = monotonicNow();
    m_engineProber.advance(now);
    for (const core::request_id id : m_admission.takeExpired(now)) {
        if (request_flow *flow = findFlow(id))
            flow->onQueueTimeout();
    }
    if (m_leaving)
        endRequests(now);
    if (m_admission.queuedCount() > 0)
        startAllQueued();
    if (m_admission.hasQueueReports(now))
        sendEngineUpdatesSoon();
    const bool hasConfiguration = m_catalogue.routes() != nullptr;
    if (hasConfiguration && now < m_nextPeerCheckAt)
        return;
    const std::size_t peers = m_fleet.members().size();
    if (peers > maxPeersCheckedOnEachTick)
        m_nextPeerCheckAt = now + peerCheckIntervalPerPeer * static_cast<int>(peers);
    if (m_subsetting.update(m_fleet.activeNodes(now)))
        m_admission.setPeersOfPreferredEngines(m_settings.peers.address,
                                               m_subsetting.peersOfPreferredEngines());
    updateSourceReading(now);
    catchUpWithPeers(now);
}

void gateway_node::cleanup()
{
    const core::time_point now = monotonicNow();
    for (const std::uint32_t unreachable : m_fleet.takeUnreachable(now)) {
        logPeer("peer_silent", "node is unreachable", unreachable);
        m_registry.setPeerLoads(unreachable, {});
        m_admission.onPeerUnreachable(unreachable);
    }
    m_fleet.removeExpired(now);
    const dispatch::fleet_view::reader_rank rank = m_fleet.readerRank(now);
    m_records.setReaderRank(rank.index, rank.count);
    m_catalogue.endGracePeriods(now);
    m_engineConnections.closeExpired(now);
    std::vector<std::shared_ptr<http1::server_connection>> connections;
    connections.reserve(m_connections.size());
    for (const auto &[pointer, connection] : m_connections)
        connections.push_back(connection);
    const bool closeIdle = m_leaving && now - m_leavingSince > staleAddressPeriod;
    for (const auto &connection : connections) {
        if (connection->unsentBytes() > maxUnsentBytes) {
            onCallerDisconnected(*connection);
            connection->abort();
            continue;
        }
        if (closeIdle)
            connection->closeIfIdle();
        connection->checkTimeouts(now);
    }
    manageMemory(now);
    m_log.reportSuppressed();
}

void gateway_node::catchUpWithPeers(core::time_point now)
{
    const std::vector<dispatch::record_revision> revisions = m_catalogue.revisions();
    std::vector<const dispatch::node_status *> newer;
    for (std::size_t i = 0; i < revisions.size() && newer.empty(); ++i)
        newer = m_fleet.peersAhead(i, revisions[i], now);
    // A peer may keep a configuration in force that a restored source has lost.
    const bool lacksConfiguration = newer.empty() && now >= m_configurationFetchAllowedAt;
    if (lacksConfiguration)
        newer = m_fleet.peersWithLaterConfiguration(m_catalogue.configurationVersion(), now);
    std::vector<std::uint32_t> ahead;
    ahead.reserve(newer.size());
    for (const dispatch::node_status *each : newer)
        ahead.push_back(each->address);
    const bool hasNoConfiguration = m_catalogue.routes() == nullptr;
    const auto peer = m_catchUp.next(ahead, hasNoConfiguration, m_random, now);
    if (!peer)
        return;
    if (lacksConfiguration)
        m_configurationFetchAllowedAt = now + configurationFetchInterval;
    fetchFromPeer(*peer);
    for (std::size_t i = 0; m_source.reading() && i < revisions.size(); ++i) {
        if (!m_fleet.peersAhead(i, revisions[i], now).empty())
            m_records.restart(static_cast<collection_id>(i));
    }
}

// Without this, peers would learn only from the next status that this node has the records, too.
void gateway_node::notifyPeersBehind()
{
    const std::vector<dispatch::record_revision> revisions = m_catalogue.revisions();
    std::vector<std::uint32_t> behind = m_fleet.peersBehind(revisions, monotonicNow());
    std::ranges::shuffle(behind, m_random);
    behind.resize(std::min(behind.size(), record_catch_up::notifiedPeers));
    const std::string bytes = encodeStatus(buildStatus(false));
    for (const std::uint32_t peer : behind)
        m_peerSocket.send({peer, m_settings.peers.port}, bytes);
}

void gateway_node::fetchFromPeer(std::uint32_t peer)
{
    transport::http_call call;
    call.url = "http://" + http1::endpoint{peer, m_settings.peers.port}.text() + "/records?since=";
    for (const dispatch::record_revision &revision : m_catalogue.revisions())
        call.url += revision.text() + ",";
    call.maxBodyBytes = maxPeerRecordsBytes;
    call.deadline = monotonicNow() + peerFetchTimeout;
    m_peerClient.start(std::move(call), std::make_shared<peer_fetch>(*this, peer));
}

void gateway_node::startAllQueued()
{
    for (const dispatch::node_status::queue_length &queue : m_admission.queues())
        startQueued(queue.upstream, dispatch::poll_trigger::RemoteChange);
}

void gateway_node::startQueuedAfterPeerUpdate()
{
    for (const dispatch::node_status::queue_length &queue : m_admission.queues()) {
        if (m_admission.isCoordinated(queue.upstream))
            startQueued(queue.upstream, dispatch::poll_trigger::PeerUpdate);
    }
}

void gateway_node::startQueued(const std::string &upstream, dispatch::poll_trigger trigger)
{
    // A granted request that ends immediately frees its slot and reenters this function.
    if (std::exchange(m_startingQueued, true))
        return;
    for (const dispatch::admission_grant &grant :
         m_admission.poll(upstream, trigger, monotonicNow())) {
        if (request_flow *flow = findFlow(grant.id)) {
            flow->onGrant(grant);
            continue;
        }
        m_registry.onPromptEnd(grant.engine.id, grant.id);
        m_admission.onEnd(upstream, grant.engine.id, dispatch::attempt_result::Neutral,
                          core::duration::zero(), monotonicNow());
    }
    m_startingQueued = false;
    sendEngineUpdatesSoon();
}

request_flow *gateway_node::flowOf(http1::server_connection &connection)
{
    const auto found = m_flowOfConnection.find(&connection);
    return found == m_flowOfConnection.end() ? nullptr : findFlow(found->second);
}

request_flow *gateway_node::findFlow(core::request_id id)
{
    const auto found = m_flows.find(id);
    return found == m_flows.end() ? nullptr : found->second.get();
}

void gateway_node::logPeer(std::string_view event, std::string_view message, std::uint32_t address)
{
    const dispatch::fleet_share share = m_fleet.share(monotonicNow());
    logEvent(log_level::Info, event, message,
             {{"peer", addressText(address)},
              {"known", std::to_string(share.known)},
              {"in_touch", std::to_string(share.reachable)}});
}

} // namespace comfreypass::gateway
