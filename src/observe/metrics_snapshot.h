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

/** Counters from one export of a node's metrics that are needed to compute service levels. */
struct metrics_snapshot
{
    /** Maximum size of the parsed text. */
    static constexpr std::size_t maxBytes = 16'777'216;

    /** One series of a counter. */
    struct sample
    {
        std::string name;
        std::map<std::string, std::string, std::less<>> labels;
        double value = 0;

        /** Returns the value of a label; empty if the label is missing. */
        std::string_view label(std::string_view name) const;
    };

    core::node_name node;
    /** Counters restart at 0 when the incarnation changes. */
    std::string incarnation;
    /** Wall-clock time since the Unix epoch. */
    std::chrono::duration<double> time{0};
    std::vector<sample> samples;
};

/**
 * Parses a saved response of GET /metrics; series that no service level needs are skipped.
 *
 * Errors: TooLarge; ParseFailed with the line number; NotFound if the node or the time of the
 * snapshot is missing. Thread-safe.
 */
core::result<metrics_snapshot> parseSnapshot(std::string_view text);

} // namespace comfreypass::observe
