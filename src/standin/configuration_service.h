#pragma once

#include "core/result.h"
#include "standin/configuration_service_settings.h"

#include <ace/Reactor.h>

#include <cstdint>
#include <memory>
#include <string>

namespace comfreypass::standin {

/**
 * Stand-in for the configuration service: GET /v1/value/{key}?after={index}&wait_ms={n} answers the
 * value with its index in X-Index, 404 for an unknown key, or 304 if nothing newer than `after`
 * came within the wait. PUT /control/value/{key} sets a value, POST /control {"mode":...} sets the
 * mode, GET /counters reports calls. Not thread-safe.
 */
class configuration_service
{
public:
    enum class mode : std::uint8_t {
        Normal,
        /** Closes every connection without an answer. */
        Down,
        /** Serves the values as they were when the mode was set, and accepts newer ones unseen. */
        Stale,
    };

    /** The reactor must outlive the service. */
    configuration_service(ACE_Reactor &reactor, configuration_service_settings settings);
    ~configuration_service();
    configuration_service(const configuration_service &) = delete;
    configuration_service &operator=(const configuration_service &) = delete;

    /** Starts to listen and returns the port. Errors as http_server::listen. */
    core::result<std::uint16_t> listen();
    std::uint16_t port() const noexcept;

    /** Sets a value and returns its index; indexes count all changes of the service. */
    std::uint64_t put(const std::string &key, std::string value);

    void setMode(mode value);

    /** Reads and watches so far; a watch counts as one call. */
    std::uint64_t calls() const noexcept;

    /** Long polls that wait now. */
    std::size_t pendingWatches() const noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace comfreypass::standin
