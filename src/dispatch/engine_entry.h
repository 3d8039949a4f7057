#pragma once

#include "core/time_point.h"

#include <cstdint>
#include <string>

namespace comfreypass::dispatch {

/** What an engine says of itself in the list of engines. */
struct engine_entry
{
    std::string id;
    std::string upstream;
    /** IP:PORT */
    std::string address = {};
    std::string domain = {};
    /** Requests that it works on at once. */
    std::uint32_t slots = 1;
    /** It is about to leave and takes no new requests. */
    bool draining = false;
    /** Time for which it was still cold when it wrote this. */
    core::duration coldRemaining{};
    /** Start of the engine; another value under the same id is another process. 0 if unknown. */
    std::uint64_t startedAt = 0;

    bool operator==(const engine_entry &) const = default;
};

} // namespace comfreypass::dispatch
