#pragma once

#include "core/time_point.h"
#include "http1/endpoint.h"
#include "sheet/validated.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypass::gateway {

/** Settings of one gateway node. */
struct node_settings
{
    std::string name;
    std::string domain;
    std::string region;

    /** Where callers send their requests. */
    http1::endpoint callers;
    /** Where it says whether it is ready. */
    http1::endpoint readiness;
    /** Where it tells callers which addresses to use. */
    http1::endpoint addresses;
    /** Datagrams and record requests of the peers. */
    http1::endpoint peers;
    /** Where operators read metrics. */
    http1::endpoint metrics;

    /** IPv4 addresses of nodes that may run, in host byte order. */
    std::vector<std::uint32_t> seeds;
    /** Where operators and engines publish their records. */
    http1::endpoint records;

    /** Repeats per request to an upstream in a window, and further ones, for the whole fleet. */
    double retryRatio = 0;
    double retryExtra = 0;
    core::duration retryWindow = std::chrono::seconds(10);
    /** Time between the order to stop and the kill. */
    core::duration gracePeriod = std::chrono::seconds(8);
    /** Longest time for which callers may keep an answer with addresses. */
    core::duration maxAddressTtl = std::chrono::seconds(5);
    /** Descriptors that the process may open. */
    std::size_t descriptors = 1'024;
};

/**
 * Reads JSON with comments. Errors: all that the text has, each with its JSON pointer. Thread-safe.
 */
sheet::validated<node_settings> parseNodeSettings(std::string_view text);

} // namespace comfreypass::gateway
