#include "gateway/request_flow.h"

#include "core/parse_unsigned.h"
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

/** Priorities of routes that are told apart within one priority of teams. */
constexpr std::uint32_t ranksPerTeamPriority = 16;

constexpr unsigned unauthorized = 401;
constexpr unsigned notFound = 404;
constexpr unsigned tooManyRequests = 429;
constexpr unsigned badGateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gatewayTimeout = 504;
constexpr unsigned firstError = 300;
constexpr unsigned firstServerError = 500;

/** Answers up to this size are passed on once they are whole, so that a broken one can be repeated.
 */
constexpr std::size_t mostCollectedBytes = 262'144;

/** A new connection takes one round trip and a few milliseconds; a lost packet takes longer. */
constexpr core::duration connectTimeout = 300ms;

/** Engines that may reject one request before it is refused; each rejection uses the retry budget.
 */
constexpr std::uint32_t mostRejections = 3;

/**
 * Engines that one request may find unreachable before it is refused. When a domain goes down, many
 * entries are still listed; a refused connection costs a round trip and reaches no engine.
 */
constexpr std::uint32_t mostUnreachable = 8;

/** Part of a request's time for which it waits for a slot. */
constexpr int waitPercent = 25;

/**
 * Callers give up a stream that sends nothing for 2 s or a little more, so a request that waited
 * longer than this would run for nobody.
 */
constexpr core::duration longestStreamWait = 1'200ms;

/** A request that another engine failed waits for a slot again, but the caller has waited already.
 */
constexpr core::duration longestWaitForRepeat = 500ms;

/** Age of a kept connection that may carry a request that must not be repeated. */
constexpr core::duration longestIdleOnce = 1s;
constexpr core::duration longestIdleRepeatable = 10s;

/**
 * An engine that sends nothing for this time has lost the request. Callers give a stream up after
 * 2 s or more without an event, so half of that leaves time for another engine.
 */
constexpr core::duration streamStall = 1'200ms;
constexpr core::duration plainStall = 400ms;

/** The engine stops at the deadline by itself; its own answer needs a moment to arrive. */
constexpr core::duration deadlineSlack = 40ms;

/** Without a configuration a caller should ask another node soon. */
constexpr core::duration retryWithoutConfiguration = 200ms;

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
      m_body(std::move(body)), m_facts(context.callerProtocol.readRequest(m_head)),
      m_arrivedAt(context.now()), m_deadlineTimer(context.reactor, [this] { onDeadline(); }),
      m_attemptTimer(context.reactor, [this] { watchAttempt(); })
{
    m_record.attemptId = m_facts.attemptId;
}

request_flow::~request_flow() = default;

void request_flow::begin()
{
    m_routes = m_context.routes();
    if (!m_routes) {
        answerRefusal(unavailable, "no_configuration", retryWithoutConfiguration);
        return;
    }
    m_record.configurationVersion = m_routes->settings().version;
    const std::string_view target = m_head.target;
    m_route = m_routes->find(m_facts.host, target.substr(0, target.find('?')));
    if (m_route == nullptr) {
        answerOwn(notFound, flow_outcome::Rejected, "no_route");
        return;
    }
    m_record.route = m_route->name;
    m_record.objective = m_route->objective;
    if (!authorize(*m_routes))
        return;
    m_record.priority = rank();
    core::duration timeout = m_route->timeout;
    if (m_facts.timeout)
        timeout = std::min(timeout, *m_facts.timeout);
    m_deadline = m_arrivedAt + timeout;
    if (timeout <= core::duration::zero()) {
        answerRefusal(unavailable, "no_time_left", 0s);
        return;
    }
    if (!admitQuota())
        return;
    m_upstream = chooseTarget();
    m_record.upstream = m_upstream;
    m_context.retries.onRequest(m_upstream, m_arrivedAt);
    m_deadlineTimer.startOnce(timeout + deadlineSlack);
    submit();
}

void request_flow::refuseLeaving()
{
    answerRefusal(unavailable, "node_leaving", 0s);
}

bool request_flow::authorize(const dispatch::routing_index &routes)
{
    m_team = m_facts.key.empty() ? nullptr : routes.teamOfKey(m_facts.key);
    if (m_team != nullptr)
        m_record.team = m_team->name;
    if (m_team != nullptr || m_route->isPublic || !routes.needsKeys())
        return true;
    answerOwn(unauthorized, flow_outcome::Rejected, "unknown_key");
    return false;
}

// The rank of the team goes before that of the route, which orders the requests of equal teams.
std::uint32_t request_flow::rank() const
{
    const std::uint32_t first
        = m_team != nullptr ? m_team->priority.value_or(m_route->priority) : m_route->priority;
    return first * ranksPerTeamPriority + std::min(m_route->priority, ranksPerTeamPriority - 1);
}

bool request_flow::admitQuota()
{
    if (m_team == nullptr || !m_team->quota)
        return true;
    const dispatch::team_quota &quota = *m_team->quota;
    m_record.units = quota.countsTokens ? m_facts.tokens.value_or(quota.plainUnits) : 1;
    const dispatch::quota_decision verdict = m_context.quotas.admit(
        *m_team, m_record.units, m_context.fleet.share(m_arrivedAt), m_arrivedAt);
    m_quotaTaken = verdict.admitted;
    if (!verdict.admitted)
        answerRefusal(tooManyRequests, "over_quota", verdict.retryAfter);
    return verdict.admitted;
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

void request_flow::submit()
{
    const core::time_point now = m_context.now();
    const dispatch::admission_decision decision = m_context.admission.submit(
        {.id = m_id,
         .upstream = m_upstream,
         .priority = m_record.priority,
         .objectiveAt = m_arrivedAt + m_route->objective,
         .queueDeadline = std::min(m_record.attempts == 0 ? m_arrivedAt + patienceForWait()
                                                          : now + longestWaitForRepeat,
                                   m_deadline),
         .excluded = m_tried,
         .promptTokens = isStreamRoute() ? m_facts.promptTokens.value_or(0) : 0,
         .objective = m_route->objective,
         .outputTokens = m_facts.expectedOutputTokens.value_or(0),
         .deadline = m_deadline},
        now);
    switch (decision.outcome) {
    case dispatch::admission_outcome::Start:
        startAttempt(decision.engine, decision.basis);
        return;
    case dispatch::admission_outcome::Wait:
        m_waiting = true;
        return;
    case dispatch::admission_outcome::Refuse:
        break;
    }
    if (answerBegun())
        breakOff("no_engine_to_resume");
    else if (m_mayHaveRun)
        answerOwn(badGateway, flow_outcome::Failed, "no_engine_to_repeat");
    else
        answerRefusal(unavailable, toString(decision.cause), decision.retryAfter);
}

core::duration request_flow::patienceForWait() const
{
    const core::duration part = m_route->timeout * waitPercent / 100;
    return isStreamRoute() ? std::min(part, longestStreamWait) : part;
}

void request_flow::onGrant(const dispatch::admission_grant &grant)
{
    m_waiting = false;
    startAttempt(grant.engine, grant.basis);
}

void request_flow::onWaitExpired()
{
    m_waiting = false;
    if (answerBegun())
        breakOff("no_slot_to_resume");
    else if (m_mayHaveRun)
        answerOwn(badGateway, flow_outcome::Failed, "no_slot_to_repeat");
    else
        answerRefusal(unavailable, "waited_too_long",
                      m_context.admission.retryAfter(m_upstream, m_context.now()));
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
        afterNotRun();
        return;
    }
    m_engineAddress = address.value();
    ++m_record.attempts;
    ++m_runs;
    m_attemptStartedAt = now;
    m_lastEventAt = now;
    m_firstEventSeen = false;
    m_answer = {};
    m_mode = relay_mode::Collect;
    m_collected.clear();
    m_link = m_context.engineConnections.acquire(
        *m_engineAddress, m_route->repeatable() ? longestIdleRepeatable : longestIdleOnce, now);
    m_link.connection->start(requestBytes(engine), *this);
    m_attemptTimer.startOnce(m_link.connection->connected() ? stallLimit() : connectTimeout);
}

std::string request_flow::requestBytes(const dispatch::engine_entry &engine) const
{
    attempt_metadata attempt;
    attempt.timeLeft = m_deadline - m_context.now();
    attempt.engineId = engine.id;
    attempt.team = m_record.team;
    attempt.resumeAfter = m_events.lastId() ? m_events.lastId() : m_facts.resumeAfter;
    std::string text = m_head.method + " " + m_head.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : m_context.callerProtocol.engineHeaders(m_head, attempt))
        http1::appendField(text, name, value);
    if (!m_body.empty() || m_head.contentLength || m_head.chunked)
        http1::appendField(text, "Content-Length", std::to_string(m_body.size()));
    text.append("\r\n").append(m_body);
    return text;
}

void request_flow::watchAttempt()
{
    if (!m_engine)
        return;
    if (!m_link.connection->connected()) {
        onConnectTimeout();
        return;
    }
    const core::duration quiet = m_context.now() - m_lastEventAt;
    // The engine may only be slow, so the request is taken from it only if another one has room.
    const core::time_point now = m_context.now();
    if (quiet >= stallLimit() && mayRepeat()
        && m_context.registry.hasCapacityElsewhere(m_upstream, m_engine->id, now)
        && repeatAllowed()) {
        onStall();
        return;
    }
    const core::duration rest = stallLimit() - quiet;
    m_attemptTimer.startOnce(rest > 1ms ? rest : stallLimit());
}

core::duration request_flow::stallLimit() const
{
    return isStreamRoute() ? streamStall : plainStall;
}

void request_flow::onConnectTimeout()
{
    m_context.attemptFailed(m_record, "connect_timeout");
    endAttempt(dispatch::attempt_result::Unreachable, false);
    afterNotRun();
}

void request_flow::onStall()
{
    m_mayHaveRun = true;
    m_context.attemptFailed(m_record, "stalled");
    repeatElsewhere(dispatch::attempt_result::Failed);
}

http1::head_decision request_flow::onHead(const http1::message_head &head)
{
    response_metadata facts = m_context.callerProtocol.readResponse(head);
    // The late answer to an earlier request on this connection.
    if (!facts.attemptId.empty() && facts.attemptId != m_facts.attemptId)
        return http1::head_decision::Skip;
    const core::time_point now = m_context.now();
    m_context.registry.onBytes(m_engine->id, now);
    m_lastEventAt = now;
    m_answer = std::move(facts);
    m_answerHead = head;
    const bool success = head.status < firstError;
    if (success && m_answer.isSigned && m_answer.isEventStream && isStreamRoute()) {
        m_mode = relay_mode::Events;
        m_checkResume = answerBegun() || m_events.lastId().has_value();
    }
    return http1::head_decision::Accept;
}

void request_flow::onBody(std::string_view bytes)
{
    const core::time_point now = m_context.now();
    m_context.registry.onBytes(m_engine->id, now);
    switch (m_mode) {
    case relay_mode::Events:
        if (!m_events.feed(bytes)) {
            m_mayHaveRun = true;
            afterFailure("event_too_large", dispatch::attempt_result::Failed);
            return;
        }
        relayEvents();
        return;
    case relay_mode::Bytes:
        m_caller.write(bytes);
        return;
    case relay_mode::Collect:
        break;
    }
    m_lastEventAt = now;
    m_collected.append(bytes);
    const bool worthRelaying = m_answer.isSigned && !m_answer.notRun && !answerBegun();
    if (m_collected.size() <= mostCollectedBytes || !worthRelaying)
        return;
    m_mode = relay_mode::Bytes;
    m_answerBegun = true;
    m_record.firstByte = now - m_arrivedAt;
    m_caller.beginStream(m_answerHead.status, http1::forwardedHeaders(m_answerHead.headers));
    m_caller.write(std::exchange(m_collected, {}));
}

void request_flow::relayEvents()
{
    if (m_events.whole().empty())
        return;
    const core::time_point now = m_context.now();
    if (m_checkResume && !checkResumedStream()) {
        m_mayHaveRun = true;
        endAttempt(dispatch::attempt_result::Failed, false);
        breakOff("resumed_at_wrong_event");
        return;
    }
    if (std::exchange(m_firstEventSeen, true))
        m_context.registry.onEventInterval(m_engine->id, now - m_lastEventAt);
    else
        onFirstEvent(now - m_attemptStartedAt);
    m_lastEventAt = now;
    if (!std::exchange(m_answerBegun, true)) {
        m_record.firstByte = now - m_arrivedAt;
        m_caller.beginStream(m_answerHead.status, http1::forwardedHeaders(m_answerHead.headers));
    }
    m_caller.write(m_events.whole());
    m_events.takeWhole();
}

void request_flow::onFirstEvent(core::duration time)
{
    m_context.registry.onFirstEvent(m_engine->id, m_facts.promptTokens.value_or(0), time);
    m_context.admission.onFirstEvent(m_upstream, m_record.priority, time);
}

// A resumed stream must go on with the event after the last one that was passed on.
bool request_flow::checkResumedStream()
{
    m_checkResume = false;
    const auto first = m_events.firstId();
    if (!first || !m_events.lastId())
        return !answerBegun();
    const auto next = core::parseUnsigned(*first);
    const auto last = core::parseUnsigned(*m_events.lastId());
    return next && last && *next == *last + 1;
}

void request_flow::onComplete(bool reusable)
{
    if (m_mode == relay_mode::Events) {
        m_record.status = m_answerHead.status;
        endAttempt(dispatch::attempt_result::Served, reusable);
        completeStream();
        return;
    }
    if (m_mode == relay_mode::Bytes) {
        endAttempt(dispatch::attempt_result::Served, reusable);
        m_record.status = m_answerHead.status;
        m_caller.finishStream();
        finish(flow_outcome::Answered, "");
        return;
    }
    if (m_answer.notRun) {
        m_context.attemptFailed(m_record, m_answer.misdirected ? "misdirected" : "rejected");
        endAttempt(m_answer.misdirected ? dispatch::attempt_result::Misdirected
                                        : dispatch::attempt_result::Rejected,
                   reusable);
        afterNotRun();
        return;
    }
    completeCollected(reusable);
}

void request_flow::completeStream()
{
    const std::string_view rest = m_events.rest();
    if (!answerBegun()) {
        // A whole stream without an event is passed on as it is.
        m_caller.respond(m_answerHead.status, http1::forwardedHeaders(m_answerHead.headers), rest);
    } else {
        m_caller.write(rest);
        m_caller.finishStream();
    }
    finish(flow_outcome::Answered, "");
}

void request_flow::completeCollected(bool reusable)
{
    m_mayHaveRun = true;
    const unsigned status = m_answerHead.status;
    const bool success = status < firstError;
    if (success && !m_answer.isSigned) {
        afterFailure("unsigned_success", dispatch::attempt_result::Failed);
        return;
    }
    if (answerBegun()) {
        // An answer that cannot go on where the stream broke off.
        afterFailure("no_stream_to_resume", dispatch::attempt_result::Failed);
        return;
    }
    const bool repeat = status >= firstServerError && m_route->repeatable() && mayRepeat();
    if (repeat && repeatAllowed()) {
        m_context.attemptFailed(m_record, "status_" + std::to_string(status));
        endAttempt(dispatch::attempt_result::Failed, false);
        m_tried.push_back(m_record.engine);
        submit();
        return;
    }
    if (success)
        m_context.admission.onFirstEvent(m_upstream, m_record.priority,
                                         m_context.now() - m_attemptStartedAt);
    endAttempt(status >= firstServerError ? dispatch::attempt_result::Failed
                                          : dispatch::attempt_result::Served,
               reusable);
    passCollected();
}

void request_flow::passCollected()
{
    m_record.status = m_answerHead.status;
    m_record.firstByte = m_context.now() - m_arrivedAt;
    m_caller.respond(m_answerHead.status, http1::forwardedHeaders(m_answerHead.headers),
                     m_collected);
    finish(flow_outcome::Answered, m_answerHead.status >= firstError ? "engine_status" : "");
}

void request_flow::onFailed(http1::exchange_failure failure)
{
    if (failure == http1::exchange_failure::ConnectFailed) {
        m_context.attemptFailed(m_record, toString(failure));
        endAttempt(dispatch::attempt_result::Unreachable, false);
        afterNotRun();
        return;
    }
    m_mayHaveRun = true;
    afterFailure(toString(failure), dispatch::attempt_result::Failed);
}

// The attempt certainly did not run, so another engine may take the request, whatever its kind.
void request_flow::afterNotRun()
{
    const bool reachedEngine = m_answer.notRun;
    ++(reachedEngine ? m_rejections : m_unreachable);
    if (m_runs > 0)
        --m_runs;
    m_tried.push_back(m_record.engine);
    const core::time_point now = m_context.now();
    const bool allowed
        = m_rejections <= mostRejections && m_unreachable <= mostUnreachable && now < m_deadline
          && (!reachedEngine
              || m_context.retries.tryRetry(m_upstream, m_context.fleet.share(now), now));
    if (allowed) {
        submit();
        return;
    }
    if (answerBegun())
        breakOff("no_engine_to_resume");
    else if (m_mayHaveRun)
        answerOwn(badGateway, flow_outcome::Failed, "engines_refused_repeat");
    else
        answerRefusal(unavailable, "engines_refused",
                      m_context.admission.retryAfter(m_upstream, now));
}

void request_flow::afterFailure(std::string_view failure, dispatch::attempt_result result)
{
    const std::string reason(failure);
    m_context.attemptFailed(m_record, reason);
    const bool repeat = mayRepeat() && m_mode != relay_mode::Bytes;
    if (repeat && repeatAllowed()) {
        repeatElsewhere(result);
        return;
    }
    endAttempt(result, false);
    if (answerBegun())
        breakOff(reason);
    else
        answerOwn(badGateway, flow_outcome::Failed, reason);
}

void request_flow::repeatElsewhere(dispatch::attempt_result result)
{
    endAttempt(result, false);
    m_events.dropRest();
    m_tried.push_back(m_record.engine);
    submit();
}

bool request_flow::mayRepeat() const
{
    return m_route->repeatable() && m_runs < m_route->maxAttempts
           && m_context.now() + 20ms < m_deadline;
}

bool request_flow::repeatAllowed()
{
    const core::time_point now = m_context.now();
    return m_context.retries.tryRetry(m_upstream, m_context.fleet.share(now), now);
}

void request_flow::endAttempt(dispatch::attempt_result result, bool reusable)
{
    if (!m_engine)
        return;
    const core::time_point now = m_context.now();
    m_attemptTimer.stop();
    const std::string engineId = m_engine->id;
    m_engine.reset();
    if (m_link.connection) {
        if (reusable && m_link.connection->usable())
            m_context.engineConnections.release(*m_engineAddress, std::move(m_link.connection),
                                                std::chrono::seconds(m_answer.keepAliveSeconds),
                                                now);
        else
            m_context.engineConnections.discard(std::move(m_link.connection));
    }
    m_link = {};
    m_context.admission.onEnd(m_upstream, engineId, result, now - m_attemptStartedAt, now);
    m_context.slotFreed(m_upstream);
}

void request_flow::onDeadline()
{
    if (m_ended)
        return;
    if (m_waiting) {
        m_context.admission.cancel(m_id);
        onWaitExpired();
        return;
    }
    const bool mayRun = m_mayHaveRun || (m_engine && m_link.connection->connected());
    endAttempt(dispatch::attempt_result::Neutral, false);
    if (answerBegun())
        breakOff("deadline");
    else if (mayRun)
        answerOwn(gatewayTimeout, flow_outcome::TimedOut, "deadline");
    else
        answerRefusal(unavailable, "deadline_before_start", 0s);
}

void request_flow::onCallerGone()
{
    if (m_ended)
        return;
    endAttempt(dispatch::attempt_result::Neutral, false);
    finish(flow_outcome::CallerGone, "caller_gone");
}

void request_flow::answerRefusal(unsigned status, std::string_view reason,
                                 core::duration retryAfter)
{
    if (std::exchange(m_quotaTaken, false))
        m_context.quotas.refund(*m_team, m_record.units);
    answerOwn(status, flow_outcome::Refused, reason, retryAfter);
}

void request_flow::answerOwn(unsigned status, flow_outcome outcome, std::string_view reason,
                             std::optional<core::duration> retryAfter)
{
    transport::http_headers headers = m_context.callerProtocol.localResponseHeaders(m_facts);
    headers.add("Content-Type", "text/plain");
    if (retryAfter)
        headers.add("Retry-After", secondsText(*retryAfter));
    m_record.status = status;
    m_caller.respond(status, headers, std::string(reason) + "\n");
    finish(outcome, reason);
}

void request_flow::breakOff(std::string_view reason)
{
    m_record.status = m_answerHead.status;
    m_caller.abort();
    finish(flow_outcome::BrokenOff, reason);
}

void request_flow::finish(flow_outcome outcome, std::string_view reason)
{
    if (std::exchange(m_ended, true))
        return;
    if (std::exchange(m_waiting, false))
        m_context.admission.cancel(m_id);
    m_deadlineTimer.stop();
    m_attemptTimer.stop();
    m_record.outcome = outcome;
    m_record.reason = reason;
    m_record.events = m_events.events();
    m_record.total = m_context.now() - m_arrivedAt;
    m_context.done(m_id, m_record);
}

} // namespace comfreypass::gateway
