#pragma once

#include "core/time_point.h"
#include "dispatch/scheduling_settings.h"
#include "http1/endpoint.h"
#include "sheet/validated.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypass::gateway {

/** Settings of a gateway node. */
struct node_settings
{
    std::string name;
    std::string domain;
    std::string region;

    /** Listens for requests of callers. */
    http1::endpoint callers;
    /** Serves readiness checks. */
    http1::endpoint readiness;
    /** Serves the addresses for callers. */
    http1::endpoint addresses;
    /** Receives datagrams and record requests of peers. */
    http1::endpoint peers;
    /** Serves metrics to operators. */
    http1::endpoint metrics;

    /** IPv4 addresses of nodes that may be running, in host byte order. */
    std::vector<std::uint32_t> seeds;
    /** Address of the source in which operators and engines publish their records. */
    http1::endpoint records;

    /** Retry budget of the whole fleet: retries per request to an upstream in a window, and extra
     * ones. */
    double retryRatio = 0;
    double retryExtra = 0;
    core::duration retryWindow = std::chrono::seconds(10);
    /** Time between the stop signal and the kill. */
    core::duration gracePeriod = std::chrono::seconds(8);
    /** Maximum time for which callers may cache addresses. */
    core::duration maxAddressTtl = std::chrono::seconds(5);
    /** Capacity of the network link. */
    double linkBytesPerSecond = 125'000'000;
    /** Maximum number of open file descriptors. */
    std::size_t descriptors = 1'024;
    /** Memory of the instance. */
    std::size_t memoryBytes = 268'435'456;
    /** Maximum memory for the data of callers. */
    std::size_t callerMemoryBytes = 107'374'182;

    dispatch::scheduling_settings scheduling;
};

/**
 * Parses JSON with comments. Errors: all errors of the text, each with its JSON pointer.
 * Thread-safe.
 */
sheet::validated<node_settings> parseNodeSettings(std::string_view text);

} // namespace comfreypass::gateway
