#pragma once

#include "core/ids.h"
#include "dispatch/admission.h"
#include "dispatch/request_feature.h"
#include "gateway/event_splitter.h"
#include "gateway/flow_context.h"
#include "gateway/flow_record.h"
#include "gateway/response_end.h"
#include "http1/client_connection.h"
#include "http1/server_connection.h"
#include "transport/reactor_timer.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypass::gateway {

/**
 * Processes one request of a caller, from the complete request to the end of the response.
 *
 * Validates the request, waits for an engine, forwards the request and relays the response. A
 * request that may have run is retried only if its route allows it. No byte of a response is
 * forwarded before it is known to be the engine's response to this attempt. Not thread-safe.
 */
class request_flow final : public http1::client_events
{
public:
    /** Context and caller must outlive the flow. */
    request_flow(flow_context &context, core::request_id id, http1::server_connection &caller,
                 http1::message_head head, std::string body);
    ~request_flow() override;

    /** Validates the request and starts or queues it. */
    void begin();

    /** Refuses the request because the node is about to stop; called instead of begin(). */
    void refuseWhileLeaving();

    /**
     * Starts a queued request at an engine; the admission already counts it there. A request that
     * no longer needs the engine returns its slot.
     */
    void onGrant(const dispatch::admission_grant &grant);

    /** Handles the timeout of a queued request. */
    void onQueueTimeout();

    /** Refuses a waiting request that would not end before the node does. */
    void refuseIfWaitingTooLong();

    /** Ends the flow because the node is about to exit; the caller learns what may have run. */
    void endForExit();

    /** Resumes the engine's response once the caller has taken the output sent so far. */
    void onOutputSent();

    /** Ends the flow because the caller has disconnected. */
    void onCallerDisconnected();

    bool ended() const noexcept { return m_ended; }
    core::request_id id() const noexcept { return m_id; }

private:
    enum class relay_mode : std::uint8_t {
        /** The response is buffered until it is complete. */
        Buffer,
        /** Complete events are forwarded as they arrive. */
        Events,
        /** A response too large for the buffer is forwarded as it arrives. */
        Bytes,
    };

    void onInterimHead(const http1::message_head &head) override;
    http1::head_decision onHead(const http1::message_head &head) override;
    void onBody(std::string_view bytes) override;
    void onComplete(bool reusable) override;
    void onFailed(http1::exchange_failure failure) override;

    bool authorize(const dispatch::routing_index &routes);
    std::uint32_t queuePriority() const;
    bool chargeQuota();
    const std::string &chooseTarget();
    void submit();
    bool canEndInTime() const;
    bool refuseIfTooLate();
    bool mayHaveRun() const;
    dispatch::admission_decision requestEngine(std::span<const std::string> excluded,
                                               core::time_point queueDeadline);
    std::vector<dispatch::request_feature> findFeatures() const;
    bool isQuarantined() const;
    bool refuseQuarantined();
    void refuseAfterWaiting();
    void onBrokenOff();
    void onEndedWithConnection();
    void onAnswered();
    void startAttempt(const dispatch::engine_entry &engine,
                      const dispatch::engine_selection &basis);
    engine_connection connectionForAttempt(core::time_point now);
    std::string buildRequest(const dispatch::engine_entry &engine) const;
    bool sendsBodyShared() const noexcept;
    void checkAttempt();
    void onConnectTimeout();
    bool isStalled() const;
    bool canMove() const;
    bool seekSuccessor();
    bool moveTo(const dispatch::engine_entry &engine, const dispatch::engine_selection &basis);
    void returnSlot(const dispatch::engine_entry &engine);
    void leaveQueue();
    void onProgress(core::time_point now);
    void onDeadline();

    void recordStatements(const response_metadata &response);
    void recordPause();
    void relayEvents();
    void onFirstEvent(core::duration time);
    void writeToCaller(std::string_view bytes);
    void onBufferedBytes(std::string_view bytes);
    bool checkResumedStream();
    bool isHeadRequest() const noexcept { return m_head.method == "HEAD"; }
    bool endsWithConnection() const;
    bool endsInsideStream() const;
    void completeStream();
    void completeBuffered(bool reusable);
    void handleNotRun();
    void resumeLater(bool budgetSpent);
    void resume();
    void handleFailure(std::string_view failure, dispatch::attempt_result result);
    void retryElsewhere(dispatch::attempt_result result);
    bool canRetry() const;
    bool consumeRetryBudget();

    void endAttempt(dispatch::attempt_result result, bool reusable);
    void sendBuffered();
    void respondRefused(unsigned status, std::string_view reason, core::duration retryAfter);
    void respondLocally(unsigned status, flow_outcome outcome, std::string_view reason,
                        std::optional<core::duration> retryAfter = std::nullopt);
    void abortResponse(std::string_view reason);
    void finish(flow_outcome outcome, std::string_view reason);
    core::duration maxQueueTime() const;
    core::time_point queueDeadline() const;
    core::time_point callerLeavesAt() const;
    core::duration stallTimeout() const;
    bool responseStarted() const noexcept { return m_responseStarted; }
    bool isStreamRoute() const noexcept
    {
        return m_route->kind == dispatch::request_kind::Streaming;
    }

    flow_context &m_context;
    core::request_id m_id;
    http1::server_connection &m_caller;
    http1::message_head m_head;
    /** Shared with the connection to the engine, which may send it after this flow has ended. */
    std::shared_ptr<const std::string> m_body;
    request_metadata m_metadata;
    flow_record m_record;

    std::shared_ptr<const dispatch::routing_index> m_routes;
    const dispatch::route *m_route = nullptr;
    const dispatch::team *m_team = nullptr;
    std::string m_upstream;
    /** What the quarantine knows the request by; the segments first. */
    std::vector<dispatch::request_feature> m_features;
    core::time_point m_arrivedAt;
    core::time_point m_deadline;
    bool m_quotaCharged = false;

    /** State of the current attempt. */
    std::optional<dispatch::engine_entry> m_engine;
    std::optional<http1::endpoint> m_engineAddress;
    engine_connection m_connection;
    /** A response to another request has arrived in this attempt. */
    bool m_foreignResponseSeen = false;
    core::time_point m_attemptStartedAt;
    core::time_point m_lastEventAt;
    response_metadata m_response;
    http1::message_head m_responseHead;
    bool m_firstEventSeen = false;
    /** Events of the response before and in this attempt. */
    std::uint64_t m_eventsBefore = 0;
    std::uint64_t m_attemptEvents = 0;
    relay_mode m_mode = relay_mode::Buffer;
    std::string m_bufferedBody;
    /** Events of a body that is not forwarded event by event. */
    event_end_detector m_eventEnd;
    /** Bytes of a buffered body since the last progress; see minProgressBytes. */
    std::size_t m_bytesSinceProgress = 0;
    /** The engine's response is paused until the caller has taken the output. */
    bool m_engineReadPaused = false;
    event_splitter m_events;
    bool m_resumeCheckPending = false;
    /** Time of the last event that was forwarded. */
    core::time_point m_lastForwardedAt;
    /** The retry budget has been spent on the attempt that resumeLater() has put off. */
    bool m_budgetSpent = false;

    std::vector<std::string> m_triedEngines;
    /** Id of the engine that was last left because it was silent; empty if there is none. */
    std::string m_silentEngine;
    std::vector<http1::endpoint> m_triedAddresses;
    /** Attempts that ran, are running or may have run. */
    std::uint32_t m_runAttempts = 0;
    /** Attempts that an engine rejected, and attempts whose engine was unreachable. */
    std::uint32_t m_rejections = 0;
    std::uint32_t m_unreachableEngines = 0;
    bool m_mayHaveRun = false;
    /** Waits for an engine; while an attempt runs, for one that may take it over. */
    bool m_queued = false;
    bool m_responseStarted = false;
    bool m_ended = false;

    transport::reactor_timer m_deadlineTimer;
    transport::reactor_timer m_attemptTimer;
};

} // namespace comfreypass::gateway
