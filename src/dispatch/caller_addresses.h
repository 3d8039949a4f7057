#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace comfreypass::dispatch {

/** Address of a node that is ready for callers. */
struct caller_address
{
    /** IPv4 address in host byte order. */
    std::uint32_t address = 0;
    std::uint16_t port = 0;
    /** The node is in the failure domain of the caller. */
    bool isNear = false;
};

/**
 * Reduces the addresses for one caller to `maxCount`: those in the caller's failure domain first,
 * then the others, each group in random order. Load it answers: in a fleet with more nodes than a
 * response may name, a fixed order would send the callers of all other failure domains to the same
 * few nodes. Thread-safe for distinct arguments.
 */
void selectCallerAddresses(std::vector<caller_address> &addresses, std::size_t maxCount,
                           std::minstd_rand &random);

} // namespace comfreypass::dispatch
