#pragma once

#include "core/incarnation.h"
#include "idempotency/request_key.h"

#include <cstdint>
#include <optional>

namespace comfreypass::idempotency {

/** How a claim round stands. */
enum class claim_decision : std::uint8_t {
    Open,
    /** This node owns the request and may dispatch it once. */
    Won,
    /** A majority names the same other owner, which may have dispatched the request. */
    Lost,
    /** No majority in time. This node does not dispatch the request. */
    Failed,
};

/** End of one claim round. */
struct claim_outcome
{
    request_key key;
    claim_decision decision = claim_decision::Failed;
    /**
     * The owner that a witness named. With Lost it is the owner. With Failed it may have won at
     * the witnesses that did not answer, so the node must answer `unknown` and not `not_run`.
     */
    std::optional<core::node_identity> otherOwner;
    /**
     * True if an earlier attempt of the caller has no answer or the answer `unknown`. It may have
     * won at witnesses that have restarted since, so a failed claim proves nothing about the key.
     */
    bool repeat = false;

    /** True if the node may answer `not_run`: a first attempt lost and saw no other owner. */
    bool notRun() const noexcept
    {
        return decision == claim_decision::Failed && !otherOwner.has_value() && !repeat;
    }

    bool operator==(const claim_outcome &) const = default;
};

} // namespace comfreypass::idempotency
