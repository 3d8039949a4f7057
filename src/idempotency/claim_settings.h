#pragma once

#include "core/time_point.h"

#include <chrono>
#include <cstddef>

namespace comfreypass::idempotency {

/** Times and bounds of the claims of one node. */
struct claim_settings
{
    /** A round without a majority fails after this time, or at the request's deadline. */
    core::duration roundTimeout = std::chrono::milliseconds{250};
    /** A witness that has not answered is asked again after this time. */
    core::duration resendAfter = std::chrono::milliseconds{60};
    /**
     * How long a dispatched key is kept. It must exceed the 10 epochs of 60 s in which a witness
     * accepts the same owner again: a node that forgot the dispatch could then win a second time.
     * One epoch more allows for clocks that differ by 10% in rate.
     */
    core::duration retention = std::chrono::seconds{660};
    /** A dispatch that still runs after its retention is looked at again after this time. */
    core::duration runningRecheck = std::chrono::seconds{60};
    std::size_t maxOpenRounds = 1'024;
    /** Keys in all states together; at 660 s of retention this is 99 requests/s. */
    std::size_t maxKeys = 65'536;
};

} // namespace comfreypass::idempotency
