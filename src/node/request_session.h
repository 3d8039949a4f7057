#pragma once

#include "core/ids.h"
#include "node/caller_request.h"
#include "node/claim_events.h"
#include "node/permit_events.h"
#include "node/request_record.h"
#include "node/session_context.h"
#include "transport/http_call_events.h"
#include "transport/http_exchange.h"
#include "transport/problem.h"
#include "transport/sse_parser.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace comfreypass::node {

/**
 * Handles one request from arrival to completion: permit, claim, dispatch, relay.
 *
 * The request is written to an upstream at most once. A refusal before that reports `not_run`,
 * unless the request repeats an earlier attempt; a failure after it reports `unknown`. Not
 * thread-safe.
 */
class request_session : public std::enable_shared_from_this<request_session>,
                        public permit_events,
                        public claim_events,
                        public transport::http_call_events
{
public:
    /** Maximum size of a buffered response body; a larger one is relayed as it arrives. */
    static constexpr std::size_t maxBufferedResponseBytes = 262'144;
    /** Maximum size of a response body that is stored for repeated requests. */
    static constexpr std::size_t maxStoredResponseBytes = 65'536;
    /** Maximum number of permits that a request may consume before it is written, for example when
     * connections are refused. */
    static constexpr int maxPermits = 3;

    /** The context must outlive the session. */
    request_session(const session_context &context,
                    std::shared_ptr<transport::http_exchange> exchange, caller_request request,
                    std::string key);
    ~request_session() override = default;

    /** Starts the request. The exchange keeps the session alive until it is closed. */
    void start();

    void onPermit(const scheduling::permit_grant &permit) override;
    void onPermitRefused(const scheduling::permit_refusal &refusal) override;
    void onPreempted() override;
    void onClaimEnded(const idempotency::claim_outcome &outcome) override;
    void onHeaders(unsigned status, const transport::http_headers &headers) override;
    bool onData(std::string_view bytes) override;
    void onDone(const transport::http_call_result &result) override;

private:
    enum class stage : std::uint8_t { WaitingForPermit, Claiming, Dispatching, Relaying, Ended };

    bool respondToDuplicate();
    void requestPermit();
    void claimOrDispatch();
    void dispatch();
    bool maySend();
    void retryBeforeDispatch(std::string_view reason);
    void onCallerClosed(bool complete);

    bool streamsToCaller() const noexcept { return m_streaming; }
    void beginStreaming();
    void completeResponse();
    void failResponse(const transport::http_call_result &result);
    void releasePermit(scheduling::dispatch_result result, bool inTime);

    void refuse(transport::problem problem);
    void end(request_record::outcome result, std::string reason);

    const session_context &m_context;
    std::shared_ptr<transport::http_exchange> m_exchange;
    caller_request m_request;
    request_record m_record;
    core::time_point m_arrivedAt;
    core::time_point m_dispatchedAt;

    stage m_stage = stage::WaitingForPermit;
    core::request_id m_requestId = 0;
    scheduling::permit_grant m_permit;
    int m_permitCount = 0;
    std::size_t m_upstreamIndex = 0;
    /** True while this session runs the claim round of its key, or after it has won it. */
    bool m_ownsClaim = false;
    bool m_claimWon = false;
    bool m_sent = false;
    bool m_preempted = false;
    bool m_callerDisconnected = false;

    transport::http_client::call_handle m_call = 0;
    unsigned m_status = 0;
    std::string m_contentType;
    bool m_streaming = false;
    std::string m_responseBody;
    transport::sse_parser m_sseParser;
    bool m_eventStream = false;
};

} // namespace comfreypass::node
