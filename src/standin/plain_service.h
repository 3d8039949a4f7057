#pragma once

#include "core/result.h"
#include "core/time_point.h"
#include "standin/plain_service_counters.h"
#include "standin/plain_service_settings.h"

#include <ace/Reactor.h>

#include <cstdint>
#include <memory>

namespace comfreypass::standin {

/**
 * Stand-in for a booking service. POST /bookings {"key":...} is not idempotent, GET /slots is.
 * GET /counters returns the counters, POST /control {"latency_ms":n, "fail":count,
 * "lose_replies":count} injects faults. Not thread-safe.
 */
class plain_service
{
public:
    /** The reactor must outlive the service. */
    plain_service(ACE_Reactor &reactor, plain_service_settings settings);
    ~plain_service();
    plain_service(const plain_service &) = delete;
    plain_service &operator=(const plain_service &) = delete;

    /** Starts to listen and returns the port. Errors: as for http_server::listen. */
    core::result<std::uint16_t> listen();
    std::uint16_t port() const noexcept;

    const plain_service_counters &counters() const noexcept;

    void setLatency(core::duration latency);

    /** Makes the next `count` requests fail with status 500 and without effect. */
    void failNext(std::uint32_t count);

    /** Executes the next `count` bookings but closes their connections without a response. */
    void loseReplies(std::uint32_t count);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace comfreypass::standin
