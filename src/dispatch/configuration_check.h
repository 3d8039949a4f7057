#pragma once

#include "core/error.h"
#include "dispatch/configuration.h"

#include <vector>

namespace comfreypass::dispatch {

/**
 * Values of a readable configuration that contradict each other, each with its place and a remedy.
 * A node takes such a configuration; some requests will not be served as the operators expect.
 * Thread-safe.
 */
std::vector<core::error> findContradictions(const configuration &settings);

} // namespace comfreypass::dispatch
