#pragma once

#include "core/error.h"
#include "dispatch/configuration.h"

#include <vector>

namespace comfreypass::dispatch {

/**
 * Returns the contradictions in a configuration, each with its location and a remedy. A node
 * applies such a configuration, but may not serve all requests as the operators expect.
 * Thread-safe.
 */
std::vector<core::error> findContradictions(const configuration &settings);

} // namespace comfreypass::dispatch
