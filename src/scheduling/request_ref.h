#pragma once

#include "core/ids.h"
#include "core/incarnation.h"

#include <compare>
#include <cstddef>
#include <functional>

namespace comfreypass::scheduling {

/** Identifies one request in the whole fleet: the entry node's process and the number it drew. */
struct request_ref
{
    core::incarnation incarnation = 0;
    core::request_id request = 0;

    auto operator<=>(const request_ref &) const = default;
};

} // namespace comfreypass::scheduling

template<>
struct std::hash<comfreypass::scheduling::request_ref>
{
    std::size_t operator()(const comfreypass::scheduling::request_ref &value) const noexcept
    {
        // Both numbers are random, so their combination needs no further mixing.
        return value.incarnation ^ (value.request << 1U);
    }
};
