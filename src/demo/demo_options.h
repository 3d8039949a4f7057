#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace comfreypass::demo {

/** Options of the demonstration. */
struct demo_options
{
    /** Sheet file on which the demo fleet is based. */
    std::string sheetFile = "examples/acib-rutas.sheet.json";
    std::size_t nodes = 3;
    /** Number of model engines of each model upstream. */
    std::size_t modelEngines = 10;
    /** Number of instances of each plain-service upstream. */
    std::size_t serviceEngines = 4;
    double requestsPerSecond = 40;
    /** Duration of the load, without the wait for the last responses. */
    std::chrono::milliseconds load{12'000};
    /** Starts all model engines cold; one of them is restarted during the load in any case. */
    bool coldStart = false;
    std::uint64_t seed = 1;
};

} // namespace comfreypass::demo
