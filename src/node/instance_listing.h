#pragma once

#include "core/result.h"
#include "membership/listed_node.h"
#include "sheet/engine_info.h"

#include <string_view>
#include <vector>

namespace comfreypass::node {

/** Contents of the platform's instance list. */
struct instance_listing
{
    std::vector<membership::listed_node> nodes;
    std::vector<sheet::engine_info> engines;
};

/**
 * Parses an instance list document. An entry without a required member makes the whole document
 * invalid, so that a truncated list never removes instances. Thread-safe.
 *
 * Errors: ParseFailed, ValidationFailed with the JSON pointer.
 */
core::result<instance_listing> parseInstanceListing(std::string_view text);

} // namespace comfreypass::node
