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
 * POST /v1/chat/completions, POST /v1/resume {stream, next_token}, GET /load, GET /counters, and
 * POST /control {"cold":bool, "slow":factor, "fail":mode, "restart":true}. Not thread-safe.
 */
class model_engine
{
public:
    /** The reactor must outlive the engine. */
    model_engine(ACE_Reactor &reactor, model_engine_settings settings);
    ~model_engine();
    model_engine(const model_engine &) = delete;
    model_engine &operator=(const model_engine &) = delete;

    /** Starts to listen and returns the port. Errors as http_server::listen. */
    core::result<std::uint16_t> listen();
    std::uint16_t port() const noexcept;

    const model_engine_counters &counters() const noexcept;

    /** Running and waiting requests. */
    std::uint32_t openRequests() const noexcept;

    bool cold() const noexcept;
    std::uint64_t epoch() const noexcept;

    /** Makes the engine cold or warm; a change to cold starts a new epoch. */
    void setCold(bool cold);

    /** Makes every step `factor` times slower; 1 is the normal speed. */
    void setLatencyFactor(double factor);

    /**
     * Sets what happens to chat completion requests: "none", "status" (answers 500), "close"
     * (closes without an answer), "truncate" (closes half-way through the answer) or "hang" (never
     * answers). False for another word.
     */
    bool setFailure(const std::string &mode);

    /** Ends all requests, empties cache and streams, and starts a new epoch in the cold state. */
    void restart();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace comfreypass::standin
