#include "gateway/request_flow.h"

#include "core/parse_unsigned.h"
#include "dispatch/service_share.h"
#include "gateway/request_digest.h"
#include "http1/forwarded_headers.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iomanip>
#include <random>
#include <sstream>
#include <utility>

namespace comfreypass::gateway {

namespace {

using namespace std::chrono_literals;

constexpr unsigned unauthorized = 401;
constexpr unsigned notFound = 404;
constexpr unsigned tooManyRequests = 429;
constexpr unsigned badGateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gatewayTimeout = 504;
constexpr unsigned firstErrorStatus = 300;
constexpr unsigned firstServerErrorStatus = 500;

/** Responses up to this size are forwarded once complete, so that a failed one can be retried. */
constexpr std::size_t maxBufferedBytes = 262'144;

/**
 * A buffered body that grows by less than this within the stall timeout makes no progress: single
 * bytes would otherwise hide an engine that has stalled.
 */
constexpr std::size_t minProgressBytes = 1'024;

/** A larger body is not copied for the engine; head and body of others leave in one packet. */
constexpr std::size_t maxCopiedBodyBytes = 65'536;

/** Reading from the engine pauses while more output than this waits for the caller. */
constexpr std::size_t maxWaitingOutputBytes = 262'144;

/** Connecting takes one round trip and a few milliseconds, and longer if a packet is lost. */
constexpr core::duration connectTimeout = 300ms;

/** Engines that may reject a request before it is refused; each retry uses the retry budget. */
constexpr std::uint32_t maxRejections = 3;

/**
 * Unreachable engines that a request may try before it is refused. When a domain fails, many of its
 * engines are still listed; a refused connection costs a round trip and loads no engine.
 */
constexpr std::uint32_t maxUnreachable = 8;

/** Share of a request's timeout that it may spend in the queue. */
constexpr int queueTimePercent = 25;

/**
 * Callers abandon a stream that sends nothing for slightly more than 2 s, so a request that was
 * queued longer than this would run in vain.
 */
constexpr core::duration maxStreamQueueTime = 1'200ms;

/** Queue time of a retry; shorter than for a first attempt, since the caller has already waited. */
constexpr core::duration maxRetryQueueTime = 500ms;

/** Maximum idle time of a pooled connection; shorter if the request must not be retried. */
constexpr core::duration maxIdleNonRetryable = 1s;
constexpr core::duration maxIdleRetryable = 10s;

/**
 * An engine that sends nothing for this long is considered stalled. Callers abandon a stream after
 * at least 2 s without an event, so about half of that leaves time for another engine.
 */
constexpr core::duration streamStallTimeout = 1'200ms;
constexpr core::duration plainStallTimeout = 400ms;

/** Interval at which another engine is sought for a stalled or interrupted stream. */
constexpr core::duration successorInterval = 100ms;

/** The engine stops at the deadline by itself; allows time for its response to arrive. */
constexpr core::duration deadlineSlack = 40ms;

/**
 * A node that is leaving starts a request if at most this share of its route's requests takes
 * longer than the node has left. Others are refused at once, and their callers use another node.
 * A cut request that must not be repeated is lost.
 */
constexpr double cutShareRetryable = 0.05;
constexpr double cutShareNonRetryable = 0.01;

/** Short, so that a caller soon retries at another node that has a configuration. */
constexpr core::duration retryAfterWithoutConfiguration = 200ms;

std::string secondsText(core::duration time)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << std::chrono::duration<double>(time).count();
    return text.str();
}

} // namespace

request_flow::request_flow(flow_context &context, core::request_id id,
                           http1::server_connection &caller, http1::message_head head,
                           std::string body)
    : m_context(context), m_id(id), m_caller(caller), m_head(std::move(head)),
      m_body(std::make_shared<const std::string>(std::move(body))),
      m_metadata(context.callerProtocol.readRequest(m_head)), m_arrivedAt(context.now()),
      m_deadlineTimer(context.reactor, [this] { onDeadline(); }),
      m_attemptTimer(context.reactor, [this] { checkAttempt(); })
{
    m_record.attemptId = m_metadata.attemptId;
}

request_flow::~request_flow() = default;

void request_flow::begin()
{
    m_routes = m_context.routes();
    if (!m_routes) {
        respondRefused(unavailable, "no_configuration", retryAfterWithoutConfiguration);
        return;
    }
    m_record.configurationVersion = m_routes->settings().version;
    const std::string_view target = m_head.target;
    m_route = m_routes->find(m_metadata.host, target.substr(0, target.find('?')));
    if (m_route == nullptr) {
        respondLocally(notFound, flow_outcome::Rejected, "no_route");
        return;
    }
    m_record.route = m_route->name;
    m_record.objective = m_route->objective;
    if (!authorize(*m_routes))
        return;
    m_record.priority = queuePriority();
    core::duration timeout = m_route->timeout;
    if (m_metadata.timeout)
        timeout = std::min(timeout, *m_metadata.timeout);
    m_deadline = m_arrivedAt + timeout;
    if (timeout <= core::duration::zero()) {
        respondRefused(unavailable, "no_time_left", 0s);
        return;
    }
    if (!chargeQuota())
        return;
    m_upstream = chooseTarget();
    m_record.upstream = m_upstream;
    m_features = findFeatures();
    if (m_context.admission.isCoordinated(m_upstream))
        m_record.callerAge
            = m_context.callerAges.onRequest(m_route->name, timeout, m_route->timeout, m_arrivedAt);
    m_context.retries.onRequest(m_upstream, m_arrivedAt);
    m_deadlineTimer.startOnce(timeout + deadlineSlack);
    submit();
}

void request_flow::refuseWhileLeaving()
{
    respondRefused(unavailable, "node_leaving", 0s);
}

bool request_flow::authorize(const dispatch::routing_index &routes)
{
    m_team = m_metadata.key.empty() ? nullptr : routes.teamOfKey(m_metadata.key);
    if (m_team != nullptr)
        m_record.team = m_team->name;
    if (m_team != nullptr || m_route->isPublic || !routes.needsKeys())
        return true;
    respondLocally(unauthorized, flow_outcome::Rejected, "unknown_key");
    return false;
}

// The team's priority takes precedence; the route's priority orders requests of equal teams.
std::uint32_t request_flow::queuePriority() const
{
    const std::uint32_t first
        = m_team != nullptr ? m_team->priority.value_or(m_route->priority) : m_route->priority;
    return first * dispatch::routePrioritiesPerTeamPriority
           + std::min(m_route->priority, dispatch::routePrioritiesPerTeamPriority - 1);
}

bool request_flow::chargeQuota()
{
    if (m_team == nullptr || !m_team->quota)
        return true;
    const dispatch::team_quota &quota = *m_team->quota;
    m_record.units = quota.countsTokens ? m_metadata.tokens.value_or(quota.defaultUnits) : 1;
    const dispatch::quota_decision decision = m_context.quotas.admit(
        *m_team, m_record.units, m_context.fleet.share(m_arrivedAt), m_arrivedAt);
    m_quotaCharged = decision.admitted;
    if (!decision.admitted)
        respondRefused(tooManyRequests, "over_quota", decision.retryAfter);
    return decision.admitted;
}

const std::string &request_flow::chooseTarget()
{
    const std::vector<dispatch::route_target> &targets = m_route->targets;
    double total = 0;
    for (const dispatch::route_target &each : targets)
        total += each.weight;
    double drawn = std::uniform_real_distribution<double>(0, total)(m_context.random);
    for (const dispatch::route_target &each : targets) {
        drawn -= each.weight;
        if (drawn < 0)
            return each.upstream;
    }
    return targets.back().upstream;
}

// Without earlier requests of the route, only the deadline limits the duration.
bool request_flow::canEndInTime() const
{
    const core::time_point now = m_context.now();
    const core::time_point end = m_context.requestsEndAt();
    if (now >= end)
        return false;
    if (m_deadline <= end)
        return true;
    const auto duration = m_context.durations.quantile(
        m_route->name, m_route->retryable() ? cutShareRetryable : cutShareNonRetryable);
    return duration && now + *duration <= end;
}

// A stream that has begun continues for as long as the node runs.
bool request_flow::refuseIfTooLate()
{
    if (responseStarted() || canEndInTime())
        return false;
    constexpr std::string_view reason = "node_leaving";
    if (m_mayHaveRun)
        respondLocally(badGateway, flow_outcome::Failed, reason);
    else
        respondRefused(unavailable, reason, 0s);
    return true;
}

void request_flow::refuseIfWaitingTooLong()
{
    if (!m_ended && m_queued && !m_engine)
        refuseIfTooLate();
}

void request_flow::endForExit()
{
    if (m_ended)
        return;
    constexpr std::string_view reason = "node_stopped";
    const bool mayRun = mayHaveRun();
    // Nobody can send a request again that must not be repeated, so it may still run.
    if (mayRun && !m_route->retryable() && !responseStarted())
        m_context.engineConnections.closeAfterRequest(std::move(m_connection.connection));
    endAttempt(dispatch::attempt_result::Neutral, false);
    if (responseStarted()) {
        m_record.status = m_responseHead.status;
        m_caller.endIncomplete();
        finish(flow_outcome::BrokenOff, reason);
    } else if (mayRun) {
        respondLocally(badGateway, flow_outcome::Failed, reason);
    } else {
        respondRefused(unavailable, reason, 0s);
    }
}

bool request_flow::mayHaveRun() const
{
    return m_mayHaveRun || (m_engine && m_connection.connection->connected());
}

void request_flow::submit()
{
    if (refuseIfTooLate())
        return;
    if (refuseQuarantined())
        return;
    const dispatch::admission_decision decision = requestEngine(m_triedEngines, queueDeadline());
    switch (decision.outcome) {
    case dispatch::admission_outcome::Start:
        startAttempt(decision.engine, decision.basis);
        return;
    case dispatch::admission_outcome::Wait:
        m_queued = true;
        return;
    case dispatch::admission_outcome::Refuse:
        break;
    }
    if (responseStarted())
        resumeLater(true);
    else if (m_mayHaveRun)
        respondLocally(badGateway, flow_outcome::Failed, "no_engine_to_repeat");
    else
        respondRefused(unavailable, toString(decision.cause), decision.retryAfter);
}

dispatch::admission_decision request_flow::requestEngine(std::span<const std::string> excluded,
                                                         core::time_point queueDeadline)
{
    return m_context.admission.submit(
        {.id = m_id,
         .upstream = m_upstream,
         .priority = m_record.priority,
         .objectiveAt = m_arrivedAt - m_record.callerAge + m_route->objective,
         .queueDeadline = std::min(queueDeadline, m_deadline),
         .excluded = {excluded.begin(), excluded.end()},
         .promptTokens = isStreamRoute() ? m_metadata.promptTokens.value_or(0) : 0,
         .objective = m_route->objective,
         .outputTokens = m_metadata.expectedOutputTokens.value_or(0),
         .deadline = m_deadline,
         .isRunning = m_engine.has_value(),
         .isRepeated = m_record.attempts > 0},
        m_context.now());
}

std::vector<dispatch::request_feature> request_flow::findFeatures() const
{
    std::vector<dispatch::request_feature> features;
    features.reserve(m_metadata.sharedSegments.size() + 1);
    for (const std::uint64_t key : m_metadata.sharedSegments)
        features.push_back({dispatch::feature_kind::Segment, key});
    features.push_back({dispatch::feature_kind::Request, requestDigest({.method = m_head.method,
                                                                        .host = m_metadata.host,
                                                                        .target = m_head.target,
                                                                        .team = m_record.team,
                                                                        .body = *m_body})});
    return features;
}

// Checked before each attempt, since a request that has crashed an engine would crash the next one.
bool request_flow::refuseQuarantined()
{
    const auto found = m_context.quarantine.find(m_features, m_context.now());
    if (!found)
        return false;
    m_record.quarantined = found->signature;
    const std::string_view reason = found->signature.back().kind == dispatch::feature_kind::Request
                                        ? "quarantined_request"
                                        : "quarantined_prompt";
    if (responseStarted())
        abortResponse(reason);
    else if (m_mayHaveRun)
        respondLocally(badGateway, flow_outcome::Failed, reason);
    else
        respondRefused(unavailable, reason, found->remaining);
    return true;
}

bool request_flow::isQuarantined() const
{
    return m_context.quarantine.find(m_features, m_context.now()).has_value();
}

// The connection has ended before the engine could prove that the request is harmless.
void request_flow::onBrokenOff()
{
    if (m_mode == relay_mode::Bytes
        || m_attemptEvents >= dispatch::request_quarantine::harmlessEvents)
        return;
    const core::time_point now = m_context.now();
    const bool isKnownDown = m_context.quarantine.onBroken(
        dispatch::engine_registry::keyOf(m_engine->id), m_features,
        m_context.registry.engineCount(m_upstream) == 1, now, now - m_attemptStartedAt);
    if (!isKnownDown)
        m_context.engineProber.onBroken(*m_engine, now);
}

// Without a length, an engine that crashes after its first event seems to end the response.
void request_flow::onEndedWithConnection()
{
    const core::time_point now = m_context.now();
    const bool isKnownDown = m_context.quarantine.onEnded(
        dispatch::engine_registry::keyOf(m_engine->id), m_features,
        m_context.registry.engineCount(m_upstream) == 1, now, now - m_attemptStartedAt);
    if (!isKnownDown)
        m_context.engineProber.onEnded(*m_engine, now);
}

void request_flow::onAnswered()
{
    m_context.quarantine.onAnswered(m_features, m_context.now());
}

core::duration request_flow::maxQueueTime() const
{
    const core::duration share = m_route->timeout * queueTimePercent / 100;
    return isStreamRoute() ? std::min(share, maxStreamQueueTime) : share;
}

core::time_point request_flow::queueDeadline() const
{
    if (m_record.attempts == 0)
        return m_arrivedAt + maxQueueTime();
    const core::time_point end = m_context.now() + maxRetryQueueTime;
    return responseStarted() ? std::max(end, callerLeavesAt()) : end;
}

core::time_point request_flow::callerLeavesAt() const
{
    return std::min(m_lastForwardedAt + m_route->callerPatience(), m_deadline);
}

void request_flow::onGrant(const dispatch::admission_grant &grant)
{
    m_queued = false;
    if (m_engine) {
        if (!isStalled() || !canMove() || !moveTo(grant.engine, grant.basis))
            returnSlot(grant.engine);
        return;
    }
    if (refuseIfTooLate()) {
        returnSlot(grant.engine);
        return;
    }
    if (refuseQuarantined()) {
        returnSlot(grant.engine);
        return;
    }
    startAttempt(grant.engine, grant.basis);
}

void request_flow::returnSlot(const dispatch::engine_entry &engine)
{
    m_context.registry.onPromptEnd(engine.id, m_id);
    m_context.admission.onEnd(m_upstream, engine.id, dispatch::attempt_result::Neutral,
                              core::duration::zero(), m_context.now());
}

void request_flow::leaveQueue()
{
    if (std::exchange(m_queued, false))
        m_context.admission.cancel(m_id);
}

void request_flow::onQueueTimeout()
{
    m_queued = false;
    if (m_engine)
        return;
    if (responseStarted())
        abortResponse("no_slot_to_resume");
    else if (m_mayHaveRun)
        respondLocally(badGateway, flow_outcome::Failed, "no_slot_to_repeat");
    else
        refuseAfterWaiting();
}

void request_flow::refuseAfterWaiting()
{
    const core::time_point now = m_context.now();
    const dispatch::refusal_cause cause = m_context.admission.exclusionCause(m_upstream, now);
    respondRefused(unavailable,
                   cause == dispatch::refusal_cause::None ? "waited_too_long" : toString(cause),
                   m_context.admission.retryAfter(m_upstream, m_record.priority, now, m_deadline));
}

void request_flow::startAttempt(const dispatch::engine_entry &engine,
                                const dispatch::engine_selection &basis)
{
    const core::time_point now = m_context.now();
    m_engine = engine;
    m_record.engine = engine.id;
    m_record.ownRunning = basis.ownRunning;
    m_record.peersRunning = basis.peersRunning;
    m_record.coldEngine = basis.cold;
    if (m_record.attempts == 0)
        m_record.waited = now - m_arrivedAt;
    const auto address = http1::endpoint::parse(engine.address);
    if (!address) {
        endAttempt(dispatch::attempt_result::Unreachable, false);
        handleNotRun();
        return;
    }
    m_engineAddress = address.value();
    ++m_record.attempts;
    ++m_runAttempts;
    m_attemptStartedAt = now;
    m_lastEventAt = now;
    m_firstEventSeen = false;
    m_eventsBefore = m_events.eventCount();
    m_attemptEvents = 0;
    m_response = {};
    m_mode = relay_mode::Buffer;
    m_bufferedBody.clear();
    m_eventEnd = {};
    m_bytesSinceProgress = 0;
    m_engineReadPaused = false;
    m_foreignResponseSeen = false;
    m_connection = connectionForAttempt(now);
    m_triedAddresses.push_back(*m_engineAddress);
    m_context.quarantine.onAttempt(m_features, now);
    m_connection.connection->start(buildRequest(engine), *this,
                                   sendsBodyShared() ? m_body : nullptr);
    m_attemptTimer.startOnce(m_connection.connection->connected() ? stallTimeout()
                                                                  : connectTimeout);
}

// The id tells responses on a reused connection apart, if it was not used there before. A response
// to HEAD is read without a body, so no response to another request may precede it.
engine_connection request_flow::connectionForAttempt(core::time_point now)
{
    const bool isDistinct
        = !m_metadata.attemptId.empty() && !isHeadRequest()
          && std::ranges::find(m_triedAddresses, *m_engineAddress) == m_triedAddresses.end();
    if (!isDistinct)
        return m_context.engineConnections.connect(*m_engineAddress);
    return m_context.engineConnections.acquire(
        *m_engineAddress, m_route->retryable() ? maxIdleRetryable : maxIdleNonRetryable, now);
}

std::string request_flow::buildRequest(const dispatch::engine_entry &engine) const
{
    attempt_metadata attempt;
    attempt.timeLeft = m_deadline - m_context.now();
    attempt.engineId = engine.id;
    attempt.team = m_record.team;
    attempt.resumeAfter = m_events.lastId() ? m_events.lastId() : m_metadata.resumeAfter;
    std::string text = m_head.method + " " + m_head.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : m_context.callerProtocol.engineHeaders(m_head, attempt))
        http1::appendField(text, name, value);
    if (!m_body->empty() || m_head.contentLength || m_head.chunked)
        http1::appendField(text, "Content-Length", std::to_string(m_body->size()));
    text.append("\r\n");
    if (!sendsBodyShared())
        text.append(*m_body);
    return text;
}

bool request_flow::sendsBodyShared() const noexcept
{
    return m_body->size() > maxCopiedBodyBytes;
}

void request_flow::checkAttempt()
{
    if (!m_engine) {
        resume();
        return;
    }
    if (!m_connection.connection->connected()) {
        onConnectTimeout();
        return;
    }
    if (m_engineReadPaused) {
        m_attemptTimer.startOnce(stallTimeout());
        return;
    }
    if (!isStalled()) {
        const core::duration rest = stallTimeout() - (m_context.now() - m_lastEventAt);
        m_attemptTimer.startOnce(std::max<core::duration>(rest, 1ms));
        return;
    }
    if (!canMove()) {
        m_attemptTimer.startOnce(stallTimeout());
        return;
    }
    if (!seekSuccessor())
        m_attemptTimer.startOnce(successorInterval);
}

bool request_flow::isStalled() const
{
    return !m_engineReadPaused && m_connection.connection->connected()
           && m_context.now() - m_lastEventAt >= stallTimeout();
}

bool request_flow::canMove() const
{
    return canRetry() && !isQuarantined();
}

// The engine may only be slow, so the attempt goes on until another engine has a slot for the
// request. Returns true if the request was moved.
bool request_flow::seekSuccessor()
{
    const core::time_point now = m_context.now();
    if (m_queued || !m_context.retries.mayRetry(m_upstream, m_context.fleet.share(now), now))
        return false;
    std::vector<std::string> excluded = m_triedEngines;
    excluded.push_back(m_engine->id);
    const dispatch::admission_decision decision = requestEngine(excluded, now + maxRetryQueueTime);
    m_queued = decision.outcome == dispatch::admission_outcome::Wait;
    if (decision.outcome != dispatch::admission_outcome::Start)
        return false;
    if (moveTo(decision.engine, decision.basis))
        return true;
    returnSlot(decision.engine);
    return false;
}

// Precondition: the admission counts the request at the engine. Returns false if the retry budget
// is used up.
bool request_flow::moveTo(const dispatch::engine_entry &engine,
                          const dispatch::engine_selection &basis)
{
    if (!consumeRetryBudget())
        return false;
    m_mayHaveRun = true;
    m_context.attemptFailed(m_record, "stalled");
    endAttempt(dispatch::attempt_result::Failed, false);
    m_events.discardIncompleteEvent();
    m_triedEngines.push_back(m_record.engine);
    m_silentEngine = m_record.engine;
    startAttempt(engine, basis);
    return true;
}

void request_flow::onProgress(core::time_point now)
{
    m_lastEventAt = now;
    leaveQueue();
    m_context.registry.onBytes(m_engine->id, now);
}

core::duration request_flow::stallTimeout() const
{
    return isStreamRoute() ? streamStallTimeout : plainStallTimeout;
}

void request_flow::onConnectTimeout()
{
    m_context.attemptFailed(m_record, "connect_timeout");
    endAttempt(dispatch::attempt_result::Unreachable, false);
    handleNotRun();
}

void request_flow::onInterimHead(const http1::message_head &head)
{
    recordStatements(m_context.callerProtocol.readResponse(head));
}

// What an engine states about itself counts in every response, also in one that is skipped.
void request_flow::recordStatements(const response_metadata &response)
{
    // A misdirected request is rejected by another engine, which uses the address now.
    if (!response.isLeaving || response.misdirected)
        return;
    m_context.engineConnections.closeIdle(*m_engineAddress);
    if (m_context.registry.onLeaving(*m_engine, m_context.now()))
        m_context.engineLeaving(*m_engine, m_record);
}

void request_flow::recordPause()
{
    const core::time_point now = m_context.now();
    if (m_response.hasInvalidPause && m_context.registry.onInvalidPause(*m_engine, now))
        m_context.pauseIgnored(*m_engine, m_record);
    if (!m_response.pauseFor)
        return;
    const core::duration applied
        = m_context.registry.onPauseRequested(*m_engine, *m_response.pauseFor, now);
    if (applied > core::duration::zero())
        m_context.enginePaused(*m_engine, m_record, *m_response.pauseFor, applied);
}

http1::head_decision request_flow::onHead(const http1::message_head &head)
{
    response_metadata metadata = m_context.callerProtocol.readResponse(head);
    recordStatements(metadata);
    // A late response to an earlier request on this connection.
    if (!metadata.attemptId.empty() && metadata.attemptId != m_metadata.attemptId) {
        m_foreignResponseSeen = true;
        return http1::head_decision::Skip;
    }
    const bool mayBeForeign = m_connection.isReused || m_foreignResponseSeen;
    if (metadata.attemptId.empty() && mayBeForeign)
        return http1::head_decision::Reject;
    const core::time_point now = m_context.now();
    m_context.registry.onBytes(m_engine->id, now);
    m_lastEventAt = now;
    m_response = std::move(metadata);
    m_responseHead = head;
    recordPause();
    const bool success = head.status < firstErrorStatus;
    if (success && m_response.notRun) {
        // A response that contradicts itself is neither a success nor a promise.
        m_response.notRun = false;
        m_response.isSigned = false;
    }
    const bool isStream
        = m_response.isEventStream && isStreamRoute() && mayHaveBody(head.status, m_head.method);
    if (success && m_response.isSigned && isStream) {
        m_mode = relay_mode::Events;
        m_resumeCheckPending = responseStarted() || m_events.lastId().has_value();
    }
    return http1::head_decision::Accept;
}

void request_flow::onBody(std::string_view bytes)
{
    switch (m_mode) {
    case relay_mode::Events:
        if (!m_events.feed(bytes)) {
            m_mayHaveRun = true;
            handleFailure("event_too_large", dispatch::attempt_result::Failed);
            return;
        }
        relayEvents();
        return;
    case relay_mode::Bytes:
        m_eventEnd.feed(bytes);
        m_context.registry.onBytes(m_engine->id, m_context.now());
        writeToCaller(bytes);
        return;
    case relay_mode::Buffer:
        onBufferedBytes(bytes);
        return;
    }
}

void request_flow::onBufferedBytes(std::string_view bytes)
{
    const core::time_point now = m_context.now();
    m_bufferedBody.append(bytes);
    m_eventEnd.feed(bytes);
    m_bytesSinceProgress += bytes.size();
    if (m_bytesSinceProgress >= minProgressBytes) {
        m_bytesSinceProgress = 0;
        onProgress(now);
    }
    if (m_bufferedBody.size() <= maxBufferedBytes)
        return;
    const bool relayable = m_response.isSigned && !m_response.notRun && !m_response.readsAsNotRun
                           && !responseStarted();
    if (!relayable) {
        m_mayHaveRun = true;
        handleFailure("body_too_large", dispatch::attempt_result::Failed);
        return;
    }
    onAnswered();
    m_mode = relay_mode::Bytes;
    m_responseStarted = true;
    m_record.firstByte = now - m_arrivedAt;
    m_caller.beginStream(m_responseHead.status, http1::forwardedHeaders(m_responseHead.headers));
    writeToCaller(std::exchange(m_bufferedBody, {}));
}

// A caller that reads more slowly than its engine sends slows the engine's response down.
void request_flow::writeToCaller(std::string_view bytes)
{
    m_caller.write(bytes);
    if (m_caller.unsentBytes() <= maxWaitingOutputBytes || !m_connection.connection)
        return;
    m_engineReadPaused = true;
    m_connection.connection->setReading(false);
}

void request_flow::onOutputSent()
{
    if (!std::exchange(m_engineReadPaused, false) || !m_connection.connection)
        return;
    m_lastEventAt = m_context.now();
    m_context.registry.onBytes(m_engine->id, m_lastEventAt);
    m_connection.connection->setReading(true);
}

void request_flow::relayEvents()
{
    if (m_events.completeEvents().empty())
        return;
    const std::uint64_t attemptEvents = m_events.eventCount() - m_eventsBefore;
    if (m_attemptEvents < dispatch::request_quarantine::harmlessEvents
        && attemptEvents >= dispatch::request_quarantine::harmlessEvents)
        onAnswered();
    m_attemptEvents = attemptEvents;
    const core::time_point now = m_context.now();
    if (m_resumeCheckPending && !checkResumedStream()) {
        m_mayHaveRun = true;
        endAttempt(dispatch::attempt_result::Failed, false);
        abortResponse("resumed_at_wrong_event");
        return;
    }
    if (!m_events.idsIncrease()) {
        m_mayHaveRun = true;
        m_events.discardEvents();
        handleFailure("event_out_of_order", dispatch::attempt_result::Failed);
        return;
    }
    if (std::exchange(m_firstEventSeen, true))
        m_context.registry.onEventInterval(m_engine->id, now - m_lastEventAt);
    else
        onFirstEvent(now - m_attemptStartedAt);
    onProgress(now);
    if (!std::exchange(m_responseStarted, true)) {
        m_record.firstByte = now - m_arrivedAt;
        m_caller.beginStream(m_responseHead.status,
                             http1::forwardedHeaders(m_responseHead.headers));
    }
    m_lastForwardedAt = now;
    writeToCaller(m_events.completeEvents());
    m_events.consumeEvents();
}

void request_flow::onFirstEvent(core::duration time)
{
    if (m_context.admission.isCoordinated(m_upstream))
        m_record.firstEventError
            = m_context.registry.onPromptRead(m_engine->id, m_id, m_context.now());
    else
        m_context.registry.onFirstEvent(m_engine->id, m_metadata.promptTokens.value_or(0), time);
    m_context.admission.onFirstEvent(m_upstream, m_record.priority, time);
}

// A resumed stream must continue with the event after the last forwarded one.
bool request_flow::checkResumedStream()
{
    m_resumeCheckPending = false;
    const auto first = m_events.firstId();
    if (!first || !m_events.lastId())
        return !responseStarted();
    const auto next = core::parseUnsigned(*first);
    const auto last = core::parseUnsigned(*m_events.lastId());
    return next && last && *next == *last + 1;
}

void request_flow::onComplete(bool reusable)
{
    if (endsInsideStream()) {
        m_mayHaveRun = true;
        onBrokenOff();
        handleFailure("ended_inside_stream", dispatch::attempt_result::Failed);
        return;
    }
    if (m_mode == relay_mode::Events) {
        if (!endsWithConnection())
            onAnswered();
        else if (m_attemptEvents < dispatch::request_quarantine::harmlessEvents)
            onEndedWithConnection();
        m_record.status = m_responseHead.status;
        endAttempt(dispatch::attempt_result::Served, reusable);
        completeStream();
        return;
    }
    if (m_mode == relay_mode::Bytes) {
        endAttempt(dispatch::attempt_result::Served, reusable);
        m_record.status = m_responseHead.status;
        m_caller.finishStream();
        finish(flow_outcome::Answered, "");
        return;
    }
    if (m_response.notRun) {
        m_context.attemptFailed(m_record, m_response.misdirected ? "misdirected" : "rejected");
        endAttempt(m_response.misdirected ? dispatch::attempt_result::Misdirected
                                          : dispatch::attempt_result::Rejected,
                   reusable);
        handleNotRun();
        return;
    }
    completeBuffered(reusable);
}

// Without a length or chunks, the end of the connection does not show whether the response is
// complete.
bool request_flow::endsWithConnection() const
{
    return gateway::endsWithConnection(m_responseHead, m_head.method);
}

bool request_flow::endsInsideStream() const
{
    if (m_mode != relay_mode::Events)
        return m_response.isEventStream && !m_response.notRun && endsWithConnection()
               && m_responseHead.status < firstErrorStatus && !m_eventEnd.atEventEnd();
    const bool hasIncompleteEvent
        = m_events.incompleteEvent().find_first_not_of("\r\n") != std::string_view::npos;
    return hasIncompleteEvent || (endsWithConnection() && m_attemptEvents == 0);
}

void request_flow::completeStream()
{
    const std::string_view rest = m_events.incompleteEvent();
    if (!responseStarted()) {
        // A complete stream without events is forwarded unchanged.
        m_caller.respond(m_responseHead.status, http1::forwardedHeaders(m_responseHead.headers),
                         rest);
    } else {
        m_caller.write(rest);
        m_caller.finishStream();
    }
    finish(flow_outcome::Answered, "");
}

void request_flow::completeBuffered(bool reusable)
{
    m_mayHaveRun = true;
    const unsigned status = m_responseHead.status;
    const bool success = status < firstErrorStatus;
    if (success && !m_response.isSigned) {
        handleFailure("unsigned_success", dispatch::attempt_result::Failed);
        return;
    }
    if (success && endsWithConnection() && m_bufferedBody.empty()) {
        onBrokenOff();
        handleFailure("ended_before_body", dispatch::attempt_result::Failed);
        return;
    }
    if (responseStarted()) {
        // A response that is not an event stream cannot resume the interrupted one.
        handleFailure("no_stream_to_resume", dispatch::attempt_result::Failed);
        return;
    }
    if (m_response.readsAsNotRun) {
        // Only the engine's mark shows that the request did not run.
        handleFailure("unmarked_refusal", dispatch::attempt_result::Failed);
        return;
    }
    // An engine that completes an answer, of any status, has not been crashed by the request.
    if (m_response.isSigned && endsWithConnection())
        onEndedWithConnection();
    else if (m_response.isSigned)
        onAnswered();
    const bool retry = status >= firstServerErrorStatus && m_route->retryable() && canRetry();
    if (retry && consumeRetryBudget()) {
        m_context.attemptFailed(m_record, "status_" + std::to_string(status));
        endAttempt(dispatch::attempt_result::Failed, false);
        m_triedEngines.push_back(m_record.engine);
        submit();
        return;
    }
    if (success)
        m_context.admission.onFirstEvent(m_upstream, m_record.priority,
                                         m_context.now() - m_attemptStartedAt);
    endAttempt(status >= firstServerErrorStatus ? dispatch::attempt_result::Failed
                                                : dispatch::attempt_result::Served,
               reusable);
    sendBuffered();
}

void request_flow::sendBuffered()
{
    m_record.status = m_responseHead.status;
    m_record.firstByte = m_context.now() - m_arrivedAt;
    transport::http_headers headers = http1::forwardedHeaders(m_responseHead.headers);
    if (isHeadRequest() && m_responseHead.contentLength)
        headers.add("Content-Length", std::to_string(*m_responseHead.contentLength));
    m_caller.respond(m_responseHead.status, headers, m_bufferedBody);
    finish(flow_outcome::Answered,
           m_responseHead.status >= firstErrorStatus ? "engine_status" : "");
}

void request_flow::onFailed(http1::exchange_failure failure)
{
    if (failure == http1::exchange_failure::ConnectFailed) {
        m_context.quarantine.onEngineDown(dispatch::engine_registry::keyOf(m_engine->id),
                                          m_context.now());
        m_context.attemptFailed(m_record, toString(failure));
        endAttempt(dispatch::attempt_result::Unreachable, false);
        handleNotRun();
        return;
    }
    m_mayHaveRun = true;
    onBrokenOff();
    handleFailure(toString(failure), dispatch::attempt_result::Failed);
}

// The attempt certainly did not run, so a request of any kind may be retried at another engine.
void request_flow::handleNotRun()
{
    const bool reachedEngine = m_response.notRun;
    m_context.quarantine.onNotRun(m_features);
    ++(reachedEngine ? m_rejections : m_unreachableEngines);
    if (m_runAttempts > 0)
        --m_runAttempts;
    const core::time_point now = m_context.now();
    const bool callerWaits = responseStarted() && now < callerLeavesAt();
    const bool mayTryMore = m_rejections <= maxRejections && m_unreachableEngines <= maxUnreachable;
    // A full engine may have free slots again before the caller of an interrupted stream leaves.
    if (!responseStarted() || !reachedEngine)
        m_triedEngines.push_back(m_record.engine);
    // The engine that was left has not failed, and may serve the rest of an interrupted stream.
    if (responseStarted())
        std::erase(m_triedEngines, std::exchange(m_silentEngine, {}));
    if ((mayTryMore || callerWaits) && now < m_deadline
        && (!reachedEngine || consumeRetryBudget())) {
        submit();
        return;
    }
    if (responseStarted())
        resumeLater(!reachedEngine);
    else if (m_mayHaveRun)
        respondLocally(badGateway, flow_outcome::Failed, "engines_refused_repeat");
    else
        respondRefused(
            unavailable, "engines_refused",
            m_context.admission.retryAfter(m_upstream, m_record.priority, now, m_deadline));
}

// The caller of a begun stream can be told nothing, so another engine is sought while it waits.
void request_flow::resumeLater(bool budgetSpent)
{
    if (m_context.now() >= callerLeavesAt()) {
        abortResponse("no_engine_to_resume");
        return;
    }
    m_budgetSpent = budgetSpent;
    m_attemptTimer.startOnce(successorInterval);
}

void request_flow::resume()
{
    if (m_budgetSpent || consumeRetryBudget())
        submit();
    else
        resumeLater(false);
}

void request_flow::handleFailure(std::string_view failure, dispatch::attempt_result result)
{
    const std::string reason(failure);
    m_context.attemptFailed(m_record, reason);
    if (canRetry() && consumeRetryBudget()) {
        retryElsewhere(result);
        return;
    }
    const bool mayResume = responseStarted() && canRetry();
    endAttempt(result, false);
    if (mayResume) {
        m_events.discardIncompleteEvent();
        m_triedEngines.push_back(m_record.engine);
        resumeLater(false);
    } else if (responseStarted()) {
        abortResponse(reason);
    } else {
        respondLocally(badGateway, flow_outcome::Failed, reason);
    }
}

void request_flow::retryElsewhere(dispatch::attempt_result result)
{
    endAttempt(result, false);
    m_events.discardIncompleteEvent();
    m_triedEngines.push_back(m_record.engine);
    submit();
}

// A response that is forwarded as it arrives cannot be continued by another attempt.
bool request_flow::canRetry() const
{
    return m_route->retryable() && m_mode != relay_mode::Bytes
           && m_runAttempts < m_route->maxAttempts && m_context.now() + 20ms < m_deadline;
}

bool request_flow::consumeRetryBudget()
{
    const core::time_point now = m_context.now();
    return m_context.retries.tryRetry(m_upstream, m_context.fleet.share(now), now);
}

void request_flow::endAttempt(dispatch::attempt_result result, bool reusable)
{
    if (!m_engine)
        return;
    leaveQueue();
    const core::time_point now = m_context.now();
    m_attemptTimer.stop();
    const std::string engineId = m_engine->id;
    m_engine.reset();
    if (m_connection.connection) {
        if (reusable && !m_response.isLeaving && m_connection.connection->usable())
            m_context.engineConnections.release(
                *m_engineAddress, std::move(m_connection.connection),
                std::chrono::seconds(m_response.keepAliveSeconds), now);
        else
            m_context.engineConnections.discard(std::move(m_connection.connection));
    }
    m_connection = {};
    m_context.registry.onPromptEnd(engineId, m_id);
    m_context.admission.onEnd(m_upstream, engineId, result, now - m_attemptStartedAt, now);
    m_context.slotFreed(m_upstream);
}

void request_flow::onDeadline()
{
    if (m_ended)
        return;
    if (m_queued && !m_engine) {
        m_context.admission.cancel(m_id);
        onQueueTimeout();
        return;
    }
    const bool mayRun = mayHaveRun();
    endAttempt(dispatch::attempt_result::Neutral, false);
    if (responseStarted())
        abortResponse("deadline");
    else if (mayRun)
        respondLocally(gatewayTimeout, flow_outcome::TimedOut, "deadline");
    else
        respondRefused(unavailable, "deadline_before_start", 0s);
}

void request_flow::onCallerDisconnected()
{
    if (m_ended)
        return;
    endAttempt(dispatch::attempt_result::Neutral, false);
    finish(flow_outcome::CallerGone, "caller_gone");
}

void request_flow::respondRefused(unsigned status, std::string_view reason,
                                  core::duration retryAfter)
{
    if (std::exchange(m_quotaCharged, false))
        m_context.quotas.refund(*m_team, m_record.units);
    if (m_context.admission.isCoordinated(m_upstream))
        m_record.retryAfter = retryAfter;
    respondLocally(status, flow_outcome::Refused, reason, retryAfter);
}

void request_flow::respondLocally(unsigned status, flow_outcome outcome, std::string_view reason,
                                  std::optional<core::duration> retryAfter)
{
    transport::http_headers headers = m_context.callerProtocol.localResponseHeaders(m_metadata);
    headers.add("Content-Type", "text/plain");
    if (retryAfter)
        headers.add("Retry-After", secondsText(*retryAfter));
    m_record.status = status;
    m_caller.respond(status, headers, std::string(reason) + "\n");
    finish(outcome, reason);
}

void request_flow::abortResponse(std::string_view reason)
{
    m_record.status = m_responseHead.status;
    m_caller.abort();
    finish(flow_outcome::BrokenOff, reason);
}

void request_flow::finish(flow_outcome outcome, std::string_view reason)
{
    if (std::exchange(m_ended, true))
        return;
    leaveQueue();
    m_deadlineTimer.stop();
    m_attemptTimer.stop();
    m_record.outcome = outcome;
    m_record.reason = reason;
    m_record.events = m_events.eventCount();
    const core::time_point now = m_context.now();
    m_record.total = now - m_arrivedAt;
    if (m_lastForwardedAt != core::time_point())
        m_record.sinceLastEvent = now - m_lastForwardedAt;
    m_context.done(m_id, m_record);
}

} // namespace comfreypass::gateway
