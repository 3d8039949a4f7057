#pragma once

#include "core/result.h"
#include "standin/model_engine_counters.h"
#include "standin/model_engine_settings.h"

#include <ace/Reactor.h>

#include <cstdint>
#include <memory>
#include <string>

namespace comfreypass::standin {

/**
 * Stand-in for a model engine with continuous batching and a prefix cache.
 *
 * Endpoints: POST /v1/chat/completions, POST /v1/resume {stream, next_token}, GET /load,
 * GET /counters, and POST /control {"cold":bool, "slow":factor, "fail":mode, "restart":true}.
 * Not thread-safe.
 */
class model_engine
{
public:
    /** The reactor must outlive the engine. */
    model_engine(ACE_Reactor &reactor, model_engine_settings settings);
    ~model_engine();
    model_engine(const model_engine &) = delete;
    model_engine &operator=(const model_engine &) = delete;

    /** Starts to listen and returns the port. Errors: as for http_server::listen. */
    core::result<std::uint16_t> listen();
    std::uint16_t port() const noexcept;

    const model_engine_counters &counters() const noexcept;

    /** Returns the number of running and waiting requests. */
    std::uint32_t openRequests() const noexcept;

    bool cold() const noexcept;
    std::uint64_t epoch() const noexcept;

    /** Switches the engine to cold or warm; a change to cold starts a new epoch. */
    void setCold(bool cold);

    /** Multiplies the duration of every step by `factor`; 1 is normal speed. */
    void setLatencyFactor(double factor);

    /**
     * Sets the failure mode of chat completion requests: "none", "status" (responds with 500),
     * "close" (closes without a response), "truncate" (closes half-way through the response) or
     * "hang" (never responds). Returns false for an unknown mode.
     */
    bool setFailure(const std::string &mode);

    /** Aborts all requests, clears the cache and all streams, and starts a new epoch as cold. */
    void restart();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace comfreypass::standin
