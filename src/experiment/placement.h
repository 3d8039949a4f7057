#pragma once

#include "dispatch/engine_registry.h"
#include "experiment/simulated_request.h"

#include <cstddef>

namespace comfreypass::experiment {

/** Interface of the simulation for placement policies. */
class placement_host
{
public:
    virtual core::time_point now() const = 0;

    /** Sends a request to an engine. */
    virtual void start(core::request_id id, std::size_t engine) = 0;

    /** Refuses a request that was not run. */
    virtual void refuse(core::request_id id) = 0;

    /**
     * Returns the current number of running and queued requests of an engine. Only upper bounds and
     * load reports may use it.
     */
    virtual std::size_t actualLoad(std::size_t engine) const = 0;
    virtual bool isUp(std::size_t engine) const = 0;

protected:
    ~placement_host() = default;
};

/** Assigns the requests of all nodes to engines. Not thread-safe. */
class placement
{
public:
    placement() = default;
    virtual ~placement() = default;
    placement(const placement &) = delete;
    placement &operator=(const placement &) = delete;

    /** Called when a request needs an engine, initially or for a retry. */
    virtual void onRequest(const simulated_request &request) = 0;

    /** Called when the first event arrived at the node, `time` after the start. */
    virtual void onFirstEvent(const simulated_request &request, std::size_t engine,
                              core::duration time)
        = 0;

    /** Called when a request has ended at an engine or could not be sent there. */
    virtual void onEnd(const simulated_request &request, std::size_t engine,
                       dispatch::attempt_result result, core::duration serviceTime)
        = 0;

    /** Called when a request has completed, was refused or has failed. */
    virtual void onFinished(const simulated_request &request) = 0;

    /** Called every 2 ms. */
    virtual void onTick() = 0;
};

} // namespace comfreypass::experiment
