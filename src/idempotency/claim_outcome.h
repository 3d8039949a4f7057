#pragma once

#include "core/incarnation.h"
#include "idempotency/request_key.h"

#include <cstdint>
#include <optional>

namespace comfreypass::idempotency {

/** State of a claim round. */
enum class claim_decision : std::uint8_t {
    Open,
    /** This node owns the key and may dispatch the request once. */
    Won,
    /** A majority reports the same other owner, which may have dispatched the request. */
    Lost,
    /** No majority in time. This node must not dispatch the request. */
    Failed,
};

/** Result of one claim round. */
struct claim_outcome
{
    request_key key;
    claim_decision decision = claim_decision::Failed;
    /**
     * Another owner that a witness reported. With Lost it owns the key. With Failed it may have won
     * at the witnesses that did not reply, so the node must respond `unknown` and not `not_run`.
     */
    std::optional<core::node_identity> otherOwner;
    /**
     * True if an earlier attempt of the caller has no response or the response `unknown`. It may
     * have won at witnesses that have restarted since, so that a failed claim proves nothing about
     * the key.
     */
    bool repeat = false;

    /**
     * Returns true if the node may respond `not_run`: a first attempt failed and no witness
     * reported another owner.
     */
    bool notRun() const noexcept
    {
        return decision == claim_decision::Failed && !otherOwner.has_value() && !repeat;
    }

    bool operator==(const claim_outcome &) const = default;
};

} // namespace comfreypass::idempotency
