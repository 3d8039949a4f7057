#pragma once

#include "core/result.h"
#include "standin/configuration_service_settings.h"

#include <ace/Reactor.h>

#include <cstdint>
#include <memory>
#include <string>

namespace comfreypass::standin {

/**
 * Stand-in for the configuration service. GET /v1/value/{key}?after={index}&wait_ms={n} returns the
 * value with its index in X-Index, 404 for an unknown key, or 304 if there is no index above
 * `after` within the wait time. PUT /control/value/{key} sets a value, POST /control {"mode":...}
 * sets the mode, GET /counters returns the counters. Not thread-safe.
 */
class configuration_service
{
public:
    enum class mode : std::uint8_t {
        Normal,
        /** Closes every connection without a response. */
        Down,
        /** Serves the values from the time of the mode change; newer ones are stored but hidden. */
        Stale,
    };

    /** The reactor must outlive the service. */
    configuration_service(ACE_Reactor &reactor, configuration_service_settings settings);
    ~configuration_service();
    configuration_service(const configuration_service &) = delete;
    configuration_service &operator=(const configuration_service &) = delete;

    /** Starts to listen and returns the port. Errors: as for http_server::listen. */
    core::result<std::uint16_t> listen();
    std::uint16_t port() const noexcept;

    /** Sets a value and returns its index, which increases with every change of any key. */
    std::uint64_t put(const std::string &key, std::string value);

    void setMode(mode value);

    /** Returns the number of reads so far; a long poll counts as one. */
    std::uint64_t calls() const noexcept;

    /** Returns the number of pending long polls. */
    std::size_t pendingWatches() const noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace comfreypass::standin
