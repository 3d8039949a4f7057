#pragma once

#include "core/time_point.h"
#include "idempotency/request_key.h"
#include "idempotency/witness_token.h"
#include "node/route.h"
#include "scheduling/request_cost.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace comfreypass::node {

/** A caller's request after parsing, authentication and routing. */
struct caller_request
{
    enum class kind : std::uint8_t { Model, Service };

    /** Idempotency data of a request that callers may repeat under the same key. */
    struct keyed
    {
        idempotency::request_key key;
        idempotency::witness_token witnesses;
        /** An earlier attempt had no response or an unknown outcome, so a refusal of this one must
         * not report `not_run`. */
        bool repeat = false;
    };

    kind type = kind::Model;
    route selectedRoute;
    core::model_name model;
    /** Method and path of the request to the upstream. */
    std::string method;
    std::string path;
    std::string contentType;
    bool stream = false;
    scheduling::request_cost cost;
    std::vector<std::uint64_t> prefixHashes;
    core::time_point deadline;
    std::optional<keyed> identity;
};

} // namespace comfreypass::node
