#pragma once

#include "core/time_point.h"

#include <chrono>
#include <cstddef>

namespace comfreypass::idempotency {

/** Timeouts and limits of the claims of one node. */
struct claim_settings
{
    /** A round without a majority fails after this time, or at the request's deadline. */
    core::duration roundTimeout = std::chrono::milliseconds{250};
    /** A claim is resent to a witness that has not replied after this time. */
    core::duration resendAfter = std::chrono::milliseconds{60};
    /**
     * How long a dispatched key is kept. It must exceed the 10 epochs of 60 s in which a witness
     * accepts the same owner again, because a node that has dropped the key could win a second
     * time. One more epoch allows for clocks that differ by 10% in rate.
     */
    core::duration retention = std::chrono::seconds{660};
    /** A dispatch that is still running after its retention is checked again after this time. */
    core::duration runningRecheck = std::chrono::seconds{60};
    std::size_t maxOpenRounds = 1'024;
    /** Keys in all states; with 660 s of retention this allows 99 requests/s. */
    std::size_t maxKeys = 65'536;
};

} // namespace comfreypass::idempotency
