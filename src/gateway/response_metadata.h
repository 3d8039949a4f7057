#pragma once

#include "core/time_point.h"

#include <optional>
#include <string>

namespace comfreypass::gateway {

/** Protocol fields of an engine's response. */
struct response_metadata
{
    /** The attempt that the response belongs to; empty if the engine does not state it. */
    std::string attemptId;
    /** True if the response carries the engine's signature. */
    bool isSigned = false;
    /** True if the engine reports that it did not run the request. */
    bool notRun = false;
    /** True if callers take the status for a promise that the request did not run. */
    bool readsAsNotRun = false;
    /** True if the address now belongs to another engine. */
    bool misdirected = false;
    /** True if the engine states that it is leaving and accepts no new requests. */
    bool isLeaving = false;
    /** The engine rejects the request and wants no other one of this node for this time. */
    std::optional<core::duration> pauseFor;
    /** The engine asks for a pause, but not with a valid length. */
    bool hasInvalidPause = false;
    bool isEventStream = false;
    /** The engine's timeout for idle connections; 0 if it does not state one. */
    unsigned keepAliveSeconds = 0;
};

} // namespace comfreypass::gateway
