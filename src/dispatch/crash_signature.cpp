#include "dispatch/crash_signature.h"

#include <algorithm>

namespace comfreypass::dispatch {

namespace {

bool contains(std::span<const request_feature> request, const request_feature &feature) noexcept
{
    return std::ranges::find(request, feature) != request.end();
}

} // namespace

bool matches(const crash_signature &signature, std::span<const request_feature> request) noexcept
{
    return std::ranges::all_of(
        signature, [&](const request_feature &each) { return contains(request, each); });
}

bool overlaps(const crash_signature &signature, std::span<const request_feature> request) noexcept
{
    return std::ranges::any_of(
        signature, [&](const request_feature &each) { return contains(request, each); });
}

crash_signature extended(crash_signature signature, const request_feature &feature)
{
    const auto position = std::ranges::lower_bound(signature, feature);
    if (position == signature.end() || *position != feature)
        signature.insert(position, feature);
    return signature;
}

} // namespace comfreypass::dispatch
