#pragma once

#include "node/claim_client.h"
#include "node/dispatch_gate.h"
#include "node/engine_directory.h"
#include "node/permit_client.h"
#include "node/request_record.h"
#include "transport/http_client.h"

#include <functional>

namespace comfreypass::node {

/** Dependencies of a request session; all of them must outlive the session. */
struct session_context
{
    permit_client &permits;
    claim_client &claims;
    const engine_directory &engines;
    transport::http_client &client;
    dispatch_gate gate;
    std::function<core::time_point()> clock;
    std::function<core::request_id()> nextRequestId;
    /** Called once at the end of each session. */
    std::function<void(const request_record &)> ended;
};

} // namespace comfreypass::node
