#pragma once

#include "core/name.h"
#include "core/result.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypass::observe {

/** The counters of one node's metrics that service levels are computed from. */
struct metrics_snapshot
{
    /** Largest text that is accepted. */
    static constexpr std::size_t maxBytes = 16'777'216;

    /** One series of a counter. */
    struct sample
    {
        std::string name;
        std::map<std::string, std::string, std::less<>> labels;
        double value = 0;

        /** Value of a label; empty if there is none. */
        std::string_view label(std::string_view name) const;
    };

    core::node_name node;
    /** Counters start again at 0 when the incarnation changes. */
    std::string incarnation;
    /** Wall-clock time since 1970. */
    std::chrono::duration<double> time{0};
    std::vector<sample> samples;
};

/**
 * Reads a saved answer of GET /metrics; series that no service level needs are left out.
 *
 * Errors: TooLarge; ParseFailed with the number of the line; NotFound if the text does not name its
 * node and time. Thread-safe.
 */
core::result<metrics_snapshot> parseSnapshot(std::string_view text);

} // namespace comfreypass::observe
