#pragma once

#include "dispatch/request_feature.h"

#include <span>
#include <vector>

namespace comfreypass::dispatch {

/** The features that all crashes of one cause have in common, in ascending order without repeats.
 */
using crash_signature = std::vector<request_feature>;

/** Returns whether a request has all features of the signature. Thread-safe. */
bool matches(const crash_signature &signature, std::span<const request_feature> request) noexcept;

/** Returns whether a request has any feature of the signature. Thread-safe. */
bool overlaps(const crash_signature &signature, std::span<const request_feature> request) noexcept;

/** Returns the signature with one more feature. Thread-safe. */
crash_signature extended(crash_signature signature, const request_feature &feature);

} // namespace comfreypass::dispatch
