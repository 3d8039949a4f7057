#pragma once

#include "core/time_point.h"
#include "dispatch/engine_load.h"
#include "dispatch/prefill_backlog.h"

namespace comfreypass::dispatch {

/** Speed of an engine as learned by this node and its peers. */
struct engine_speed
{
    /** Seconds between two events of a stream. */
    double eventIntervalSeconds = 0;
    double prefillSecondsPerToken = 0;
};

/** The properties of a request that determine how well an engine suits it. */
struct fit_request
{
    double promptTokens = 0;
    /** Expected events of the response after the first; 0 if unknown. */
    double outputEvents = 0;
    /** Objective of the first event, and the time left until it; negative if it is missed. */
    core::duration objective{};
    core::duration objectiveLeft{};
    /** Time until the deadline of the response. */
    core::duration timeLeft{};
};

/** What a request would cost at one engine. */
struct engine_fit
{
    /** Predicted time to the first event. */
    double firstEventSeconds = 0;
    bool meetsObjective = false;
    /** Sum of the request's own cost and of the delay of others; 1 is about one late request. */
    double cost = 0;
};

/**
 * Predicts the first event of a request at an engine, and the delay that it causes to the prompts
 * that the engine is reading. Thread-safe if the backlog does not change.
 */
engine_fit fitOf(const fit_request &request, const engine_speed &speed,
                 const prefill_backlog &backlog, engine_key engine, core::time_point now);

/**
 * Returns true if a request for which no free engine meets the objective should wait for `later`,
 * the fit at an engine that is full now.
 */
bool isWorthWaiting(const fit_request &request, const engine_fit &later);

} // namespace comfreypass::dispatch
