#pragma once

#include "core/ids.h"
#include "core/time_point.h"
#include "dispatch/admission.h"
#include "dispatch/caller_age.h"
#include "dispatch/quota_pool.h"
#include "dispatch/request_quarantine.h"
#include "dispatch/retry_budget.h"
#include "dispatch/routing_index.h"
#include "gateway/engine_connection_pool.h"
#include "gateway/engine_prober.h"
#include "gateway/flow_record.h"
#include "gateway/protocol.h"
#include "gateway/request_durations.h"

#include <ace/Reactor.h>

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace comfreypass::gateway {

/** Services shared by all request flows; owned by the node, which outlives its flows. */
struct flow_context
{
    ACE_Reactor &reactor;
    const protocol &callerProtocol;
    dispatch::engine_registry &registry;
    const dispatch::fleet_view &fleet;
    dispatch::admission &admission;
    dispatch::caller_age &callerAges;
    dispatch::quota_pool &quotas;
    dispatch::retry_budget &retries;
    dispatch::request_quarantine &quarantine;
    engine_connection_pool &engineConnections;
    engine_prober &engineProber;
    std::minstd_rand &random;
    std::function<core::time_point()> now;
    /** Returns the active configuration; null while none is known. */
    std::function<std::shared_ptr<const dispatch::routing_index>()> routes;
    const request_durations &durations;
    /** Returns the time at which the node ends all requests; unlimited unless it is leaving. */
    std::function<core::time_point()> requestsEndAt;
    /** Called when an attempt has ended, so that a slot of the upstream may be free. */
    std::function<void(const std::string &upstream)> slotFreed;
    /** Called when an engine has stated for the first time that it is leaving. */
    std::function<void(const dispatch::engine_entry &engine, const flow_record &record)>
        engineLeaving;
    /** Called when an engine has asked for a pause and is excluded for `applied`. */
    std::function<void(const dispatch::engine_entry &engine, const flow_record &record,
                       core::duration requested, core::duration applied)>
        enginePaused;
    /** Called when an engine has asked for the first time for a pause of an invalid length. */
    std::function<void(const dispatch::engine_entry &engine, const flow_record &record)>
        pauseIgnored;
    /** Called when an attempt has failed; the flow may continue with another attempt. */
    std::function<void(const flow_record &record, std::string_view failure)> attemptFailed;
    /** Called when the flow has ended and may be passed to a deferred_deleter. */
    std::function<void(core::request_id id, const flow_record &record)> done;
};

} // namespace comfreypass::gateway
