#include "dispatch/engine_fit.h"

#include <algorithm>
#include <chrono>

namespace comfreypass::dispatch {

namespace {

/** Time to the first event of a small prompt, in event intervals. */
constexpr double eventsBeforeFirst = 2;

/**
 * Cost of a missed objective. It exceeds all other costs of an engine that meets the objective
 * without recent failures.
 */
constexpr double lateCost = 3;

/**
 * Output length estimates are often off by a factor of two, so a response that is expected to take
 * more than this fraction of its time may miss its deadline.
 */
constexpr double safeTimeFraction = 0.4;
constexpr double overrunCost = 4;

/** Fraction of its objective that a waiting request of a peer is assumed to have left. */
constexpr double peerSlackFraction = 0.5;

/** A request waits for a faster engine only while that leaves this fraction of its objective. */
constexpr double minWaitFraction = 0.2;

double seconds(core::duration time)
{
    return std::chrono::duration<double>(time).count();
}

/** Cost of a delay for a request that can still be delayed by `slack` without being late. */
double delayCost(double delay, double slack)
{
    if (delay <= 0 || slack <= 0)
        return 0;
    const double fraction = std::min(1.0, delay / slack);
    return fraction * fraction;
}

/** Cost of the delay to the prompts that the engine is reading. */
double costToOthers(const fit_request &request, const engine_speed &speed,
                    const prefill_backlog &backlog, engine_key engine, core::time_point now)
{
    const double perToken = speed.prefillSecondsPerToken;
    double sum = 0;
    for (const pending_prompt &each : backlog.ownPrompts(engine)) {
        const double remaining = backlog.remainingTokens(engine, each, perToken, now);
        const double shared = backlog.sharedTokens(engine, remaining, perToken, now);
        sum += delayCost(std::min(request.promptTokens, remaining) * perToken,
                         seconds(each.objectiveAt - now) - shared * perToken
                             - eventsBeforeFirst * speed.eventIntervalSeconds);
    }
    return sum
           + delayCost(std::min(request.promptTokens, backlog.peerTokens(engine)) * perToken,
                       peerSlackFraction * seconds(request.objective));
}

} // namespace

engine_fit fitOf(const fit_request &request, const engine_speed &speed,
                 const prefill_backlog &backlog, engine_key engine, core::time_point now)
{
    engine_fit result;
    const double perToken = speed.prefillSecondsPerToken;
    const double shared = backlog.sharedTokens(engine, request.promptTokens, perToken, now);
    result.firstEventSeconds = eventsBeforeFirst * speed.eventIntervalSeconds
                               + (request.promptTokens + shared) * perToken;
    result.meetsObjective = request.objective <= core::duration::zero()
                            || result.firstEventSeconds <= seconds(request.objectiveLeft);
    if (request.objective > core::duration::zero())
        result.cost += result.firstEventSeconds / seconds(request.objective);
    if (!result.meetsObjective)
        result.cost += lateCost;
    if (request.timeLeft > core::duration::zero()) {
        const double total
            = result.firstEventSeconds + request.outputEvents * speed.eventIntervalSeconds;
        const double timeFraction = total / seconds(request.timeLeft);
        result.cost += timeFraction + overrunCost * std::max(0.0, timeFraction - safeTimeFraction);
    }
    result.cost += costToOthers(request, speed, backlog, engine, now);
    return result;
}

bool isWorthWaiting(const fit_request &request, const engine_fit &later)
{
    return later.firstEventSeconds + minWaitFraction * seconds(request.objective)
           <= seconds(request.objectiveLeft);
}

} // namespace comfreypass::dispatch
