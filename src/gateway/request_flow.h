#pragma once

#include "core/ids.h"
#include "dispatch/admission.h"
#include "gateway/event_splitter.h"
#include "gateway/flow_context.h"
#include "gateway/flow_record.h"
#include "http1/client_connection.h"
#include "http1/server_connection.h"
#include "transport/reactor_timer.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypass::gateway {

/**
 * One request of a caller, from its last byte to the end of the answer.
 *
 * It checks the request, waits for an engine, passes it on and relays the answer. A request that
 * may have run is repeated only if its route allows that. Nothing of an answer is passed on before
 * it is known to be the engine's own answer to this attempt. Not thread-safe.
 */
class request_flow final : public http1::client_events
{
public:
    /** Services and caller must outlive the flow. */
    request_flow(flow_context &context, core::request_id id, http1::server_connection &caller,
                 http1::message_head head, std::string body);
    ~request_flow() override;

    /** Checks the request and starts it, or lets it wait. */
    void begin();

    /** Refuses the request, since the node is about to stop; instead of begin(). */
    void refuseLeaving();

    /** A waiting request may start at an engine; the admission has counted it there. */
    void onGrant(const dispatch::admission_grant &grant);

    /** A waiting request has waited long enough. */
    void onWaitExpired();

    /** The caller has closed its connection. */
    void onCallerGone();

    bool ended() const noexcept { return m_ended; }
    core::request_id id() const noexcept { return m_id; }

private:
    enum class relay_mode : std::uint8_t {
        /** The answer is collected until it is whole. */
        Collect,
        /** Whole events are passed on as they come. */
        Events,
        /** An answer too large to collect is passed on as it comes. */
        Bytes,
    };

    http1::head_decision onHead(const http1::message_head &head) override;
    void onBody(std::string_view bytes) override;
    void onComplete(bool reusable) override;
    void onFailed(http1::exchange_failure failure) override;

    bool authorize(const dispatch::routing_index &routes);
    std::uint32_t rank() const;
    bool admitQuota();
    const std::string &chooseTarget();
    void submit();
    void startAttempt(const dispatch::engine_entry &engine,
                      const dispatch::engine_selection &basis);
    std::string requestBytes(const dispatch::engine_entry &engine) const;
    void watchAttempt();
    void onConnectTimeout();
    void onStall();
    void onDeadline();

    void relayEvents();
    void onFirstEvent(core::duration time);
    bool checkResumedStream();
    void completeStream();
    void completeCollected(bool reusable);
    void afterNotRun();
    void afterFailure(std::string_view failure, dispatch::attempt_result result);
    void repeatElsewhere(dispatch::attempt_result result);
    bool mayRepeat() const;
    bool repeatAllowed();

    void endAttempt(dispatch::attempt_result result, bool reusable);
    void passCollected();
    void answerRefusal(unsigned status, std::string_view reason, core::duration retryAfter);
    void answerOwn(unsigned status, flow_outcome outcome, std::string_view reason,
                   std::optional<core::duration> retryAfter = std::nullopt);
    void breakOff(std::string_view reason);
    void finish(flow_outcome outcome, std::string_view reason);
    core::duration patienceForWait() const;
    core::duration stallLimit() const;
    bool answerBegun() const noexcept { return m_answerBegun; }
    bool isStreamRoute() const noexcept
    {
        return m_route->kind == dispatch::request_kind::Streaming;
    }

    flow_context &m_context;
    core::request_id m_id;
    http1::server_connection &m_caller;
    http1::message_head m_head;
    std::string m_body;
    request_metadata m_facts;
    flow_record m_record;

    std::shared_ptr<const dispatch::routing_index> m_routes;
    const dispatch::route *m_route = nullptr;
    const dispatch::team *m_team = nullptr;
    std::string m_upstream;
    core::time_point m_arrivedAt;
    core::time_point m_deadline;
    bool m_quotaTaken = false;

    /** The present attempt. */
    std::optional<dispatch::engine_entry> m_engine;
    std::optional<http1::endpoint> m_engineAddress;
    engine_connection m_link;
    core::time_point m_attemptStartedAt;
    core::time_point m_lastEventAt;
    response_metadata m_answer;
    http1::message_head m_answerHead;
    bool m_firstEventSeen = false;
    relay_mode m_mode = relay_mode::Collect;
    std::string m_collected;
    event_splitter m_events;
    bool m_checkResume = false;

    std::vector<std::string> m_tried;
    /** Attempts that run, ran or may have run. */
    std::uint32_t m_runs = 0;
    /** Attempts that an engine rejected, and those that reached none. */
    std::uint32_t m_rejections = 0;
    std::uint32_t m_unreachable = 0;
    bool m_mayHaveRun = false;
    bool m_waiting = false;
    bool m_answerBegun = false;
    bool m_ended = false;

    transport::reactor_timer m_deadlineTimer;
    transport::reactor_timer m_attemptTimer;
};

} // namespace comfreypass::gateway
