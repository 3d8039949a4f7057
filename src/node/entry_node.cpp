#include "node/entry_node.h"

#include "node/address_response.h"
#include "node/problems.h"
#include "node/request_session.h"
#include "sheet/parse_sheet.h"
#include "sheet/socket_address.h"
#include "transport/clock.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

namespace comfreypass::node {

namespace {

constexpr std::size_t addressesPerResponse = 3;
constexpr core::duration tickInterval = std::chrono::milliseconds(25);
constexpr core::duration seedPingInterval = std::chrono::seconds(1);
/** Time within which every node learns that this one is leaving. */
constexpr core::duration leavingPropagationTime = std::chrono::seconds(2);
constexpr std::string_view addressesPath = "/v1/addresses";
constexpr unsigned statusOk = 200;
constexpr unsigned statusPreconditionRequired = 428;

transport::http_server_settings callerServerSettings(const sheet::settings &settings)
{
    const sheet::socket_address address = sheet::splitAddress(settings.listen.callers);
    transport::http_server_settings values;
    values.address = address.host;
    values.port = address.port;
    values.connectionLimit = settings.limits.connections;
    values.connectionLimitPerAddress = settings.limits.connectionsPerAddress;
    values.headerBytes = settings.limits.headerBytes;
    values.bodyBytes = settings.limits.bodyBytes;
    values.idleSeconds = static_cast<std::uint32_t>(settings.limits.idle.count());
    values.relayBufferBytes = settings.limits.relayBufferBytes;
    return values;
}

transport::peer_transport_settings peerSettings(const sheet::settings &settings,
                                                const core::node_identity &self,
                                                std::optional<transport::curve_settings> keys)
{
    transport::peer_transport_settings values;
    values.self = self;
    values.address = settings.listen.peers;
    values.clock = transport::monotonicNow;
    values.curve = std::move(keys);
    return values;
}

membership::member localMember(const sheet::settings &settings, const core::node_identity &self)
{
    membership::member record;
    record.identity = self;
    record.peerAddress = settings.listen.peers;
    record.callerAddress = settings.listen.callers;
    record.domain = settings.failureDomain;
    return record;
}

membership::membership_settings membershipSettings(const sheet::settings &settings)
{
    membership::membership_settings values;
    values.tickInterval = tickInterval;
    values.pingInterval = settings.timing.ping;
    values.suspicionTime = settings.timing.suspicion;
    values.maxConfirmationAge = settings.timing.confirmation;
    return values;
}

scheduling::scheduler_options schedulerOptions(const sheet::settings &settings)
{
    scheduling::scheduler_options options;
    options.lease = settings.timing.lease;
    options.awaitLoadReports = true;
    return options;
}

idempotency::claim_settings claimSettings(const sheet::settings &settings)
{
    idempotency::claim_settings values;
    values.roundTimeout = settings.timing.claimTimeout;
    return values;
}

core::result<std::shared_ptr<const sheet::sheet>> parseShared(std::string_view text)
{
    auto parsed = sheet::parseSheet(text);
    if (!parsed)
        return parsed.error().front();
    return std::make_shared<const sheet::sheet>(std::move(parsed).value());
}

} // namespace

entry_node::entry_node(ACE_Reactor &reactor, sheet::settings settings,
                       core::incarnation incarnation, std::uint64_t seed,
                       std::optional<transport::curve_settings> peerKeys)
    : m_reactor(reactor), m_settings(std::move(settings)), m_self{m_settings.name, incarnation},
      m_random(seed), m_startedAt(transport::monotonicNow()),
      m_mailbox(
          reactor,
          [this](wire::peer_message &&message) { dispatchMessage(m_self, std::move(message)); }),
      m_client(reactor),
      m_peers(reactor, peerSettings(m_settings, m_self, std::move(peerKeys)), *this),
      m_membership(localMember(m_settings, m_self), membershipSettings(m_settings), parseShared,
                   m_startedAt),
      m_permits(*this, m_startedAt, m_settings.timing.lease),
      m_claims(*this, m_self, m_startedAt, claimSettings(m_settings)),
      m_schedulers(*this, m_self, schedulerOptions(m_settings)),
      m_configuration(
          m_client, {m_settings.configurationService.address, m_settings.configurationService.key},
          [this](const configuration_reader::reading &reading) { onConfiguration(reading); }),
      m_instances(m_client, m_settings.instanceListAddress,
                  [this](const instance_listing &listing) { onInstances(listing); }),
      m_load(m_client,
             [this](const core::upstream_name &upstream, const scheduling::load_report &report) {
                 m_schedulers.onLoadReport(upstream, report, transport::monotonicNow());
             }),
      m_sessionContext{m_permits,
                       m_claims,
                       m_engines,
                       m_client,
                       [this](core::time_point now) { return dispatchPermission(now); },
                       transport::monotonicNow,
                       [this] { return m_random(); },
                       [this](const request_record &record) {
                           onSessionEnded(record);
                       }},
      m_callers(reactor, callerServerSettings(m_settings), *this),
      m_tick(reactor, [this] { tick(); })
{ }

entry_node::~entry_node() = default;

core::result<void> entry_node::start()
{
    if (core::result<void> opened = m_peers.open(); !opened)
        return opened.error();
    if (const core::result<std::uint16_t> bound = m_callers.listen(); !bound)
        return bound.error();
    m_tick.startRepeating(tickInterval);
    return boost::outcome_v2::success();
}

void entry_node::beginDrain()
{
    if (m_drainBegan)
        return;
    const core::time_point now = transport::monotonicNow();
    m_drainBegan = now;
    apply(m_membership.beginLeaving(now));
    m_schedulers.stepDown(now);
}

bool entry_node::drained() const
{
    if (!m_drainBegan || m_openSessions > 0 || m_callers.openExchanges() > 0)
        return false;
    return transport::monotonicNow()
           >= *m_drainBegan + m_settings.timing.addressTtl + leavingPropagationTime;
}

membership::membership_agent::readiness entry_node::ready() const
{
    if (m_drainBegan)
        return {false, "the node is leaving"};
    return m_membership.ready(transport::monotonicNow());
}

void entry_node::onRequest(std::shared_ptr<transport::http_exchange> exchange)
{
    if (!m_routes) {
        problems::unavailable("no_sheet", ready().reason).respondTo(*exchange);
        return;
    }
    if (exchange->request().path == addressesPath && exchange->request().method == "GET")
        respondWithAddresses(*exchange);
    else
        startSession(std::move(exchange));
}

void entry_node::respondWithAddresses(transport::http_exchange &exchange)
{
    const core::time_point now = transport::monotonicNow();
    const std::vector<membership::member> nodes
        = m_membership.chooseAddresses(addressesPerResponse, m_random(), now);
    exchange.respond(statusOk, {{"Content-Type", "application/json"}},
                     addressResponse(nodes, m_settings.timing.addressTtl, witnessToken()));
}

void entry_node::startSession(std::shared_ptr<transport::http_exchange> exchange)
{
    const request_reader reader(*m_routes, m_sheet->policy);
    request_reader::outcome read = reader.read(exchange->request(), transport::monotonicNow());
    if (!read) {
        transport::http_headers further;
        if (exchange->request().headers.find(request_reader::repeatHeader) == "true")
            read.error().outcome = "unknown";
        if (read.error().status == statusPreconditionRequired)
            further.add(std::string(request_reader::witnessHeader),
                        idempotency::toText(witnessToken()));
        read.error().respondTo(*exchange, further);
        return;
    }
    ++m_totals.requests;
    ++m_openSessions;
    std::string key(exchange->request().headers.find(request_reader::keyHeader).value_or(""));
    std::make_shared<request_session>(m_sessionContext, std::move(exchange),
                                      std::move(read).value(), std::move(key))
        ->start();
}

idempotency::witness_token entry_node::witnessToken()
{
    return makeWitnessToken(m_membership.chooseWitnesses(idempotency::maxWitnesses, m_random(),
                                                         transport::monotonicNow()));
}

dispatch_permission entry_node::dispatchPermission(core::time_point now) const
{
    if (m_stopReason != stop_reason::None)
        return {false, "superseded"};
    if (m_membership.wasPaused(now))
        return {false, "paused"};
    if (!m_membership.mayDispatch(now))
        return {false, "configuration_unconfirmed"};
    return {true, ""};
}

void entry_node::onSessionEnded(const request_record &record)
{
    --m_openSessions;
    m_totals.prefillTokens += record.prefillTokens;
    m_totals.wastedPrefillTokens += record.wastedPrefillTokens;
    switch (record.result) {
    case request_record::outcome::Answered:
        ++m_totals.answered;
        break;
    case request_record::outcome::NotRun:
        ++m_totals.notRun;
        break;
    case request_record::outcome::Unknown:
        ++m_totals.unknown;
        break;
    case request_record::outcome::CallerDisconnected:
        ++m_totals.callerDisconnected;
        break;
    }
    if (m_onRecord)
        m_onRecord(record);
}

void entry_node::onPeerMessage(wire::received_message &&message)
{
    dispatchMessage(message.sender, std::move(message.body));
}

void entry_node::send(const core::node_name &to, wire::peer_message message)
{
    if (to == m_self.name) {
        m_mailbox.post(std::move(message));
        return;
    }
    if (const membership::member *peer = m_membership.view().record(to))
        m_peers.setPeer(to, peer->peerAddress);
    m_peers.send(to, message, transport::monotonicNow());
}

void entry_node::dispatchMessage(const core::node_identity &from, wire::peer_message &&body)
{
    const core::time_point now = transport::monotonicNow();
    std::visit(
        [&](const auto &message) {
            using type = std::decay_t<decltype(message)>;
            if constexpr (std::is_same_v<type, membership::ping>)
                apply(m_membership.onPing(from, message, now));
            else if constexpr (std::is_same_v<type, membership::ack>)
                apply(m_membership.onAck(from, message, now));
            else if constexpr (std::is_same_v<type, membership::view_sync>)
                apply(m_membership.onViewSync(from, message, now));
            else if constexpr (std::is_same_v<type, membership::sheet_request>)
                apply(m_membership.onSheetRequest(from, message, now));
            else if constexpr (std::is_same_v<type, membership::sheet_patch>)
                apply(m_membership.onSheetPatch(from, message, now));
            else if constexpr (std::is_same_v<type, membership::sheet_chunk>)
                apply(m_membership.onSheetChunk(from, message, now));
            else if constexpr (std::is_same_v<type, scheduling::lease_poll>)
                m_permits.onPoll(from, message, now);
            else if constexpr (std::is_same_v<type, scheduling::step_down>)
                m_permits.onStepDown(from, message);
            else if constexpr (std::is_same_v<type, scheduling::permit_grant>)
                m_permits.onGrant(from, message, now);
            else if constexpr (std::is_same_v<type, scheduling::permit_refusal>)
                m_permits.onRefusal(message, now);
            else if constexpr (std::is_same_v<type, scheduling::preempt_order>)
                m_permits.onPreempt(message);
            else if constexpr (std::is_same_v<type, scheduling::lease_vote>)
                m_schedulers.onVote(from, message, now);
            else if constexpr (std::is_same_v<type, scheduling::permit_request>)
                m_schedulers.onPermitRequest(from, message, now);
            else if constexpr (std::is_same_v<type, scheduling::permit_release>)
                m_schedulers.onRelease(from, message, now);
            else if constexpr (std::is_same_v<type, idempotency::claim>)
                m_claims.onClaim(from, message, now);
            else
                m_claims.onReply(from, message);
        },
        std::move(body));
}

void entry_node::apply(membership::agent_actions actions)
{
    for (membership::outgoing_message &outgoing : actions.messages) {
        std::visit(
            [&](auto &&message) { send(outgoing.to, std::forward<decltype(message)>(message)); },
            std::move(outgoing.message));
    }
    for (const membership::membership_event &event : actions.events)
        applyEvent(event);
    if (actions.readService)
        m_configuration.read(transport::monotonicNow());
}

void entry_node::applyEvent(const membership::membership_event &event)
{
    using membership::event_kind;
    switch (event.kind) {
    case event_kind::SheetApplied:
        applySheet();
        break;
    case event_kind::Dead:
        m_schedulers.onNodeLost(event.node, transport::monotonicNow());
        break;
    case event_kind::Superseded:
        m_stopReason = stop_reason::Superseded;
        break;
    case event_kind::IncarnationRaised:
        m_stopReason = stop_reason::IncarnationTooLow;
        break;
    default:
        break;
    }
    if (m_onEvent)
        m_onEvent(event);
}

void entry_node::tick()
{
    const core::time_point now = transport::monotonicNow();
    m_membership.setWitnessEpoch(m_claims.witnessEpoch(now), now);
    apply(m_membership.tick(now, m_random()));
    updateView();
    m_instances.tick(now);
    pingSeeds(now);
    pollLoad(now);
    m_schedulers.tick(now);
    m_permits.tick(now);
    m_claims.tick(now);
}

void entry_node::updateView()
{
    const std::uint64_t digest = m_membership.view().digest();
    if (m_viewDigest == digest && m_listedCount == m_membership.view().listedCount())
        return;
    m_viewDigest = digest;
    m_listedCount = m_membership.view().listedCount();

    std::vector<core::node_identity> voters;
    std::vector<core::node_name> candidates;
    for (const membership::member *member : m_membership.view().live()) {
        voters.push_back(member->identity);
        if (member->state != membership::member_state::Leaving)
            candidates.push_back(member->identity.name);
    }
    m_schedulers.setView(std::move(voters), candidates, m_listedCount, transport::monotonicNow());
}

void entry_node::applySheet()
{
    m_sheet = m_membership.currentSheet();
    m_routes = std::make_shared<const routing_table>(m_sheet);
    m_engines.setSheet(m_sheet);
    m_schedulers.setSheet(m_sheet, transport::monotonicNow());
}

void entry_node::onConfiguration(const configuration_reader::reading &reading)
{
    const core::time_point now = transport::monotonicNow();
    switch (reading.result) {
    case configuration_reader::reading::kind::Value:
        apply(
            m_membership.onServiceValue(reading.value, reading.serviceIndex, reading.sentAt, now));
        return;
    case configuration_reader::reading::kind::Unchanged:
        apply(m_membership.onServiceUnchanged(reading.serviceIndex, reading.sentAt, now));
        return;
    case configuration_reader::reading::kind::Failed:
        m_membership.onServiceFailure(now);
        return;
    }
}

void entry_node::onInstances(const instance_listing &listing)
{
    const core::time_point now = transport::monotonicNow();
    apply(m_membership.onInstanceList(listing.nodes, now));
    std::vector<core::node_name> listed;
    listed.reserve(listing.nodes.size());
    for (const membership::listed_node &node : listing.nodes)
        listed.push_back(node.name);
    m_schedulers.setListed(listed, now);
    m_engines.setEngines(listing.engines);
    m_schedulers.setEngines(listing.engines, now);
}

// Only the addresses of seeds are known, so pings use a name derived from the address until the
// first live peer is known.
void entry_node::pingSeeds(core::time_point now)
{
    if (now < m_nextSeedPing || m_membership.view().liveCount() > 1)
        return;
    m_nextSeedPing = now + seedPingInterval;
    for (const std::string &seed : m_settings.peers) {
        const core::node_name name("seed " + seed);
        membership::ping ping;
        ping.updates.push_back(m_membership.self());
        m_peers.setPeer(name, seed);
        m_peers.send(name, ping, now);
    }
}

void entry_node::pollLoad(core::time_point now)
{
    if (!m_sheet)
        return;
    std::vector<sheet::engine_info> polled;
    for (const core::upstream_name &upstream : m_schedulers.active()) {
        const auto spec = m_sheet->upstreams.find(upstream);
        if (spec == m_sheet->upstreams.end() || spec->second.kind != sheet::upstream_kind::Model)
            continue;
        for (const auto &[name, engine] : m_engines.all()) {
            if (engine.upstream == upstream)
                polled.push_back(engine);
        }
    }
    m_load.tick(polled, now);
}

} // namespace comfreypass::node
