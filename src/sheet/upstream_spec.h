#pragma once

#include "core/name.h"
#include "sheet/operation_spec.h"

#include <cstdint>
#include <vector>

namespace comfreypass::sheet {

enum class upstream_kind : std::uint8_t { Model, Service };

/** How the instances of an upstream treat a request with an outdated fencing number or from an
 * unverified sender. */
enum class fencing_check : std::uint8_t { Refuses, Ignores };

/** Settings of one upstream in the sheet. */
struct upstream_spec
{
    core::half_name owner;
    /** Halves besides the owner that may use the upstream. */
    std::vector<core::half_name> sharedWith;
    upstream_kind kind = upstream_kind::Model;
    /** Models that the upstream serves; empty for plain services. */
    std::vector<core::model_name> models;
    /** Operations of a plain service; an operation that is not listed is not idempotent. */
    std::vector<operation_spec> operations;
    fencing_check fencing = fencing_check::Ignores;
    fencing_check sender = fencing_check::Ignores;
    /** Concurrent requests that a warm instance of a plain service accepts. */
    std::uint32_t serviceSlots = 8;
    /** Concurrent requests that an instance accepts at the beginning of a cold start. */
    std::uint32_t coldSlots = 1;

    /** Returns whether a team of this half may send requests to the upstream. Thread-safe. */
    bool isUsableBy(const core::half_name &half) const;
};

} // namespace comfreypass::sheet
