#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace comfreypass::demo {

/** What the demonstration runs. */
struct demo_options
{
    /** Sheet file that the demonstration starts from. */
    std::string sheetFile = "examples/acib-rutas.sheet.json";
    std::size_t nodes = 3;
    /** Model engines and plain-service instances for each upstream of that kind. */
    std::size_t modelEngines = 10;
    std::size_t serviceEngines = 4;
    double requestsPerSecond = 40;
    /** Time in which callers send; waiting for the last answers comes on top. */
    std::chrono::milliseconds load{12'000};
    /** Starts every model engine cold; otherwise one of them is restarted during the load. */
    bool coldStart = false;
    std::uint64_t seed = 1;
};

} // namespace comfreypass::demo
