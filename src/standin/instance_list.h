#pragma once

#include "core/result.h"
#include "core/time_point.h"
#include "standin/instance_list_settings.h"

#include <ace/Reactor.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace comfreypass::standin {

/**
 * Stand-in for the instance list. GET /v1/instances returns
 * {"nodes":[{name,peer_address,caller_address,failure_domain,state}],
 *  "engines":[{name,upstream,address,failure_domain,generation,state}]} with state live or leaving.
 * PUT /control/instances replaces the document, POST /control {"lag_ms":n,"down":bool} sets the
 * lag and the outage.
 * Not thread-safe.
 */
class instance_list
{
public:
    /** The reactor must outlive the list. */
    instance_list(ACE_Reactor &reactor, instance_list_settings settings);
    ~instance_list();
    instance_list(const instance_list &) = delete;
    instance_list &operator=(const instance_list &) = delete;

    /** Starts to listen and returns the port. Errors: as for http_server::listen. */
    core::result<std::uint16_t> listen();
    std::uint16_t port() const noexcept;

    /**
     * Replaces the document; it becomes visible to readers after the lag.
     * Errors: ParseFailed if it is not JSON, ValidationFailed if it has another structure.
     */
    core::result<void> put(std::string_view document);

    void setLag(core::duration lag);

    /** While set, connections of readers are closed without a response. */
    void setDown(bool down);

    /** Returns the number of reads so far. */
    std::uint64_t calls() const noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace comfreypass::standin
