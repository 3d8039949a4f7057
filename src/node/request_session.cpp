#include "node/request_session.h"

#include "node/problems.h"

#include <array>
#include <charconv>
#include <utility>

namespace comfreypass::node {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusGatewayTimeout = 504;
constexpr std::string_view eventStreamType = "text/event-stream";

using call_error = transport::http_call_result::error_kind;

std::string hexadecimal(std::uint64_t number)
{
    constexpr int base = 16;
    std::array<char, sizeof(number) * 2> digits{};
    const auto [end, code]
        = std::to_chars(digits.data(), digits.data() + digits.size(), number, base);
    std::string text(digits.size() - static_cast<std::size_t>(end - digits.data()), '0');
    return text.append(digits.data(), end);
}

// A request with a key has the same id on every node, so that repeated requests can be recognised
// in the upstream's log.
std::string requestIdText(const caller_request &request, core::request_id id)
{
    if (!request.identity)
        return hexadecimal(id);
    return hexadecimal(request.identity->key.high) + hexadecimal(request.identity->key.low);
}

} // namespace

request_session::request_session(const session_context &context,
                                 std::shared_ptr<transport::http_exchange> exchange,
                                 caller_request request, std::string key)
    : m_context(context), m_exchange(std::move(exchange)), m_request(std::move(request)),
      m_arrivedAt(context.clock())
{
    m_record.team = m_request.selectedRoute.team;
    m_record.half = m_request.selectedRoute.half;
    m_record.tier = m_request.selectedRoute.tier;
    m_record.upstream = m_request.selectedRoute.upstreams.front();
    m_record.key = std::move(key);
}

void request_session::start()
{
    auto self = shared_from_this();
    m_exchange->setEvents(
        [this] {
            if (m_call != 0)
                m_context.client.resume(m_call);
        },
        [self](bool complete) { self->onCallerClosed(complete); });
    if (m_stage == stage::Ended || respondToDuplicate())
        return;
    const dispatch_permission permission = m_context.gate(m_arrivedAt);
    if (!permission.allowed) {
        refuse(problems::unavailable(std::string(permission.reason),
                                     "this node must not send requests to upstreams now"));
        return;
    }
    requestPermit();
}

bool request_session::respondToDuplicate()
{
    if (!m_request.identity)
        return false;
    const idempotency::request_key &key = m_request.identity->key;
    const idempotency::key_state state = m_context.claims.state(key);
    if (state == idempotency::key_state::Free)
        return false;
    const idempotency::stored_response *stored = m_context.claims.response(key);
    if (!stored) {
        refuse(problems::unknownOutcome(statusConflict, "already_dispatched",
                                        "a request with this key runs, or has run, on this node"));
        return true;
    }
    m_exchange->respond(stored->status,
                        {{"Content-Type", stored->contentType}, {"Comfreypass-Replayed", "true"}},
                        stored->body);
    m_record.inTime = true;
    end(request_record::outcome::Answered, "");
    return true;
}

void request_session::requestPermit()
{
    m_stage = stage::WaitingForPermit;
    m_requestId = m_context.nextRequestId();
    m_record.upstream = m_request.selectedRoute.upstreams.at(m_upstreamIndex);

    scheduling::permit_request message;
    message.request = m_requestId;
    message.upstream = m_record.upstream;
    message.model = m_request.model;
    message.tier = m_request.selectedRoute.tier;
    message.team = m_request.selectedRoute.team;
    message.cost = m_request.cost;
    message.prefixHashes = m_request.prefixHashes;
    message.deadline = m_request.deadline;
    message.preemptible = m_request.selectedRoute.idempotent;
    if (!m_context.permits.request(message, weak_from_this(), m_context.clock()))
        refuse(problems::unavailable("node_full", "this node holds as many requests as it can"));
}

void request_session::onPermit(const scheduling::permit_grant &permit)
{
    if (m_stage != stage::WaitingForPermit)
        return;
    m_permit = permit;
    ++m_permitCount;
    m_record.engine = permit.engine;
    claimOrDispatch();
}

void request_session::onPermitRefused(const scheduling::permit_refusal &refusal)
{
    if (m_stage != stage::WaitingForPermit)
        return;
    if (m_upstreamIndex + 1 < m_request.selectedRoute.upstreams.size()) {
        ++m_upstreamIndex;
        requestPermit();
        return;
    }
    refuse(problems::refusedByScheduler(refusal.reason, refusal.retryAfter));
}

void request_session::claimOrDispatch()
{
    if (!m_request.identity || m_claimWon) {
        dispatch();
        return;
    }
    m_stage = stage::Claiming;
    const idempotency::claim_start started = m_context.claims.begin(
        m_request.identity->key, m_request.identity->witnesses, m_request.deadline,
        weak_from_this(), m_context.clock(), m_request.identity->repeat);
    switch (started.result) {
    case idempotency::claim_start::status::Started:
        m_ownsClaim = true;
        return;
    case idempotency::claim_start::status::Known:
        refuse(problems::unknownOutcome(statusConflict, "already_dispatched",
                                        "a request with this key runs, or has run, on this node"));
        return;
    case idempotency::claim_start::status::Impossible:
    case idempotency::claim_start::status::Full:
        refuse(problems::unavailable("claim_impossible",
                                     "the witnesses of the request cannot be asked"));
        return;
    }
}

void request_session::onClaimEnded(const idempotency::claim_outcome &outcome)
{
    if (m_stage != stage::Claiming) {
        m_context.claims.abandon(outcome.key);
        return;
    }
    if (outcome.decision == idempotency::claim_decision::Won) {
        m_claimWon = true;
        dispatch();
        return;
    }
    m_ownsClaim = false;
    if (outcome.notRun()) {
        refuse(problems::unavailable("witnesses_unavailable",
                                     "too few witnesses of the request answered"));
        return;
    }
    refuse(problems::unknownOutcome(
        statusConflict, "owned_by_other",
        "node '" + (outcome.otherOwner ? outcome.otherOwner->name.text() : std::string())
            + "' may have run a request with this key"));
}

void request_session::dispatch()
{
    const sheet::engine_info *engine = m_context.engines.find(m_permit.engine);
    if (!engine) {
        retryBeforeDispatch("engine_unknown");
        return;
    }
    m_stage = stage::Dispatching;
    const core::time_point now = m_context.clock();
    m_record.queued = now - m_arrivedAt;

    transport::http_call call;
    call.method = m_request.method;
    call.url = "http://" + engine->address + m_request.path;
    call.headers.add("X-Request-Id", requestIdText(m_request, m_requestId));
    if (!m_request.contentType.empty())
        call.headers.add("Content-Type", m_request.contentType);
    if (!m_record.key.empty())
        call.headers.add("Idempotency-Key", m_record.key);
    call.body = m_exchange->request().body;
    call.deadline = m_request.deadline;
    call.beforeSend = [weak = weak_from_this()] {
        const std::shared_ptr<request_session> session = weak.lock();
        return session && session->maySend();
    };
    m_call = m_context.client.start(std::move(call), shared_from_this());
}

// The process may have been paused since it received the permit, so all conditions are checked
// again directly before the first byte is written.
bool request_session::maySend()
{
    const core::time_point now = m_context.clock();
    if (m_stage != stage::Dispatching || now >= m_request.deadline)
        return false;
    if (!m_context.gate(now).allowed || !m_context.engines.acceptsNewWork(m_permit.engine))
        return false;
    if (!m_context.permits.startDispatch(m_requestId, now))
        return false;
    if (m_request.identity && !m_context.claims.dispatch(m_request.identity->key, now))
        return false;
    m_sent = true;
    m_record.dispatched = true;
    m_dispatchedAt = now;
    return true;
}

void request_session::onPreempted()
{
    if (m_stage != stage::Dispatching && m_stage != stage::Relaying)
        return;
    m_preempted = true;
    m_context.client.cancel(m_call);
}

void request_session::onHeaders(unsigned status, const transport::http_headers &headers)
{
    m_status = status;
    m_contentType = headers.find("Content-Type").value_or("application/octet-stream");
    m_eventStream = m_contentType.starts_with(eventStreamType);
    if (m_stage != stage::Dispatching)
        return;
    m_stage = stage::Relaying;
    if (status == statusOk && m_eventStream)
        beginStreaming();
}

bool request_session::onData(std::string_view bytes)
{
    if (m_stage != stage::Relaying)
        return true;
    if (m_record.firstToken == core::duration::zero())
        m_record.firstToken = m_context.clock() - m_arrivedAt;
    if (m_eventStream)
        m_sseParser.feed(bytes);
    if (streamsToCaller())
        return m_exchange->write(bytes);

    m_responseBody += bytes;
    if (m_responseBody.size() <= maxBufferedResponseBytes)
        return true;
    beginStreaming();
    return m_exchange->write(std::exchange(m_responseBody, {}));
}

void request_session::beginStreaming()
{
    m_streaming = true;
    m_exchange->beginStream(m_status, {{"Content-Type", m_contentType},
                                       {"Comfreypass-Upstream", m_record.upstream.text()},
                                       {"Comfreypass-Engine", m_record.engine.text()}});
}

void request_session::onDone(const transport::http_call_result &result)
{
    m_call = 0;
    if (m_stage == stage::Ended)
        return;
    if (!m_sent) {
        if (m_callerDisconnected) {
            releasePermit(scheduling::dispatch_result::NotDispatched, false);
            end(request_record::outcome::CallerDisconnected, "caller_gone");
            return;
        }
        retryBeforeDispatch(toString(result.error));
        return;
    }
    const bool endedProperly = !m_eventStream || m_sseParser.done() || m_status != statusOk;
    if (result.complete && endedProperly)
        completeResponse();
    else
        failResponse(result);
}

void request_session::completeResponse()
{
    const core::time_point now = m_context.clock();
    m_record.inTime = now <= m_request.deadline && m_status < statusBadGateway;
    releasePermit(m_status < statusBadGateway ? scheduling::dispatch_result::Completed
                                              : scheduling::dispatch_result::Failed,
                  m_record.inTime);
    if (m_request.identity) {
        std::optional<idempotency::stored_response> stored;
        if (!m_streaming && m_responseBody.size() <= maxStoredResponseBytes)
            stored = {static_cast<std::uint16_t>(m_status), m_contentType, m_responseBody};
        m_context.claims.finish(m_request.identity->key, std::move(stored));
    }
    if (streamsToCaller()) {
        m_exchange->finish();
    } else {
        m_exchange->respond(m_status,
                            {{"Content-Type", m_contentType},
                             {"Comfreypass-Upstream", m_record.upstream.text()},
                             {"Comfreypass-Engine", m_record.engine.text()}},
                            std::move(m_responseBody));
    }
    end(request_record::outcome::Answered, "");
}

void request_session::failResponse(const transport::http_call_result &result)
{
    // A connection that this node closes at the deadline is not a failure of the engine.
    const bool cancelled
        = m_preempted || m_callerDisconnected || result.error == call_error::Timeout;
    releasePermit(cancelled ? scheduling::dispatch_result::Cancelled
                            : scheduling::dispatch_result::Failed,
                  false);
    if (m_request.identity)
        m_context.claims.finish(m_request.identity->key, std::nullopt);
    if (m_callerDisconnected) {
        end(request_record::outcome::CallerDisconnected, "caller_gone");
        return;
    }

    std::string reason = "upstream_failed";
    unsigned status = statusBadGateway;
    if (m_preempted) {
        reason = "preempted";
        status = statusUnavailable;
    } else if (result.error == call_error::Timeout) {
        reason = "deadline_passed";
        status = statusGatewayTimeout;
    }
    const transport::problem problem
        = problems::unknownOutcome(status, reason, "the upstream's answer is not complete");
    if (streamsToCaller()) {
        // The event carries the reason; the missing end of the stream shows the caller that the
        // response is incomplete.
        if (m_eventStream)
            m_exchange->write("\nevent: error\ndata: " + problem.body() + "\n\n");
        m_exchange->abort();
    } else {
        problem.respondTo(*m_exchange);
    }
    end(request_record::outcome::Unknown, std::move(reason));
}

void request_session::retryBeforeDispatch(std::string_view reason)
{
    const core::time_point now = m_context.clock();
    // A refused connection is reported to the scheduler as a failure of the engine.
    releasePermit(reason == toString(call_error::ConnectFailed)
                      ? scheduling::dispatch_result::Failed
                      : scheduling::dispatch_result::NotDispatched,
                  false);
    if (now >= m_request.deadline) {
        refuse(problems::unavailable("deadline_passed", "the deadline passed before the dispatch"));
        return;
    }
    const dispatch_permission permission = m_context.gate(now);
    if (!permission.allowed) {
        refuse(problems::unavailable(std::string(permission.reason),
                                     "this node must not send requests to upstreams now"));
        return;
    }
    if (m_permitCount >= maxPermits) {
        refuse(problems::unavailable("dispatch_failed", "no engine could be reached; last attempt: "
                                                            + std::string(reason)));
        return;
    }
    requestPermit();
}

void request_session::releasePermit(scheduling::dispatch_result result, bool inTime)
{
    scheduling::permit_release report;
    report.result = result;
    report.inTime = inTime;
    if (m_sent) {
        const auto &usage = m_sseParser.usage();
        m_record.prefillTokens = usage ? static_cast<std::uint32_t>(usage->promptTokens)
                                       : m_request.cost.prefillTokens;
        m_record.decodeTokens = static_cast<std::uint32_t>(m_sseParser.tokens());
        if (!inTime)
            m_record.wastedPrefillTokens = m_record.prefillTokens;
        report.actual = {m_record.prefillTokens, m_record.decodeTokens};
        // The first byte of a non-streamed model response arrives after its last token, so it does
        // not show the time of the first token.
        const bool showsFirstToken
            = m_eventStream || m_request.type == caller_request::kind::Service;
        if (showsFirstToken && m_record.firstToken != core::duration::zero())
            report.firstToken = m_arrivedAt + m_record.firstToken - m_dispatchedAt;
    }
    m_context.permits.finish(m_requestId, report, m_context.clock());
}

void request_session::onCallerClosed(bool)
{
    switch (m_stage) {
    case stage::WaitingForPermit:
    case stage::Claiming:
        m_context.permits.cancel(m_requestId, m_context.clock());
        end(request_record::outcome::CallerDisconnected, "caller_gone");
        return;
    case stage::Dispatching:
    case stage::Relaying:
        m_callerDisconnected = true;
        m_context.client.cancel(m_call);
        return;
    case stage::Ended:
        return;
    }
}

void request_session::refuse(transport::problem problem)
{
    // This attempt did not run, but an earlier one may have.
    if (m_request.identity && m_request.identity->repeat)
        problem.outcome = "unknown";
    m_context.permits.cancel(m_requestId, m_context.clock());
    problem.respondTo(*m_exchange);
    end(problem.outcome == "unknown" ? request_record::outcome::Unknown
                                     : request_record::outcome::NotRun,
        problem.reason);
}

void request_session::end(request_record::outcome result, std::string reason)
{
    m_stage = stage::Ended;
    if (m_ownsClaim && !m_sent)
        m_context.claims.abandon(m_request.identity->key);
    m_record.result = result;
    m_record.reason = std::move(reason);
    m_record.total = m_context.clock() - m_arrivedAt;
    m_context.ended(m_record);
}

} // namespace comfreypass::node
