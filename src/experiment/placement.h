#pragma once

#include "dispatch/engine_registry.h"
#include "experiment/simulated_request.h"

#include <cstddef>

namespace comfreypass::experiment {

/** What a placement may do. */
class placement_host
{
public:
    virtual core::time_point now() const = 0;

    /** Sends a request to an engine. */
    virtual void start(core::request_id id, std::size_t engine) = 0;

    /** Refuses a request that has not run. */
    virtual void refuse(core::request_id id) = 0;

    /** Running and waiting requests of an engine as they are; only bounds may ask. */
    virtual std::size_t trueLoad(std::size_t engine) const = 0;
    virtual bool isUp(std::size_t engine) const = 0;

protected:
    ~placement_host() = default;
};

/** Decides where the requests of all nodes go. Not thread-safe. */
class placement
{
public:
    placement() = default;
    virtual ~placement() = default;
    placement(const placement &) = delete;
    placement &operator=(const placement &) = delete;

    /** A request needs an engine, for the first time or again. */
    virtual void onRequest(const simulated_request &request) = 0;

    /** The first event arrived at the node, `time` after the start. */
    virtual void onFirstEvent(const simulated_request &request, std::size_t engine,
                              core::duration time)
        = 0;

    /** A request has ended at an engine, or could not be sent there. */
    virtual void onEnd(const simulated_request &request, std::size_t engine,
                       dispatch::attempt_result result, core::duration ran)
        = 0;

    /** The request is answered or given up. */
    virtual void onGone(const simulated_request &request) = 0;

    /** Called every 2 ms. */
    virtual void onTick() = 0;
};

} // namespace comfreypass::experiment
