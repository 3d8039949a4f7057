#pragma once

#include "core/time_point.h"

#include <cstdint>
#include <string>

namespace comfreypass::dispatch {

/** Entry that an engine publishes in the list of engines. */
struct engine_entry
{
    std::string id;
    std::string upstream;
    /** IP:PORT */
    std::string address = {};
    std::string domain = {};
    /** Requests that the engine processes concurrently. */
    std::uint32_t slots = 1;
    /** The engine is about to leave and accepts no new requests. */
    bool draining = false;
    /** Remaining cold time when the entry was written. */
    core::duration coldRemaining{};
    /** Start time of the process; it changes if an engine restarts under its id. 0 if unknown. */
    std::uint64_t startedAt = 0;
    /** Increases with each entry that the process writes. */
    std::uint64_t sequence = 0;

    bool operator==(const engine_entry &) const = default;
};

} // namespace comfreypass::dispatch
