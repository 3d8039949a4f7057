#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace comfreypass::dispatch {

/** What a request_feature identifies; the later kind is the more specific one. */
enum class feature_kind : std::uint8_t {
    /** A segment of a prompt that several requests share. */
    Segment,
    /** A whole request: its target, caller and body. */
    Request,
};

constexpr std::size_t featureKinds = 2;

/** A property of a request that may crash the engines that run it. */
struct request_feature
{
    feature_kind kind = feature_kind::Segment;
    /** Identifies the segment, or the digest of the request. */
    std::uint64_t key = 0;

    auto operator<=>(const request_feature &) const = default;
};

/** Hash function of request_feature. Thread-safe. */
struct request_feature_hash
{
    std::size_t operator()(const request_feature &feature) const noexcept
    {
        return feature.key ^ static_cast<std::size_t>(feature.kind);
    }
};

} // namespace comfreypass::dispatch
