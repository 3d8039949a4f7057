#include "dispatch/caller_addresses.h"

#include <algorithm>

namespace comfreypass::dispatch {

void selectCallerAddresses(std::vector<caller_address> &addresses, std::size_t maxCount,
                           std::minstd_rand &random)
{
    std::ranges::shuffle(addresses, random);
    std::stable_partition(addresses.begin(), addresses.end(),
                          [](const caller_address &each) { return each.isNear; });
    if (addresses.size() > maxCount)
        addresses.resize(maxCount);
}

} // namespace comfreypass::dispatch
