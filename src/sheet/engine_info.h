#pragma once

#include "core/name.h"

#include <cstdint>
#include <string>

namespace comfreypass::sheet {

/** One upstream instance of the platform's instance list. */
struct engine_info
{
    core::engine_name name;
    core::upstream_name upstream;
    core::domain_name domain;
    /** Hardware generation, a key of sheet::generations; empty for plain services. */
    std::string generation;
    /** ip:port. */
    std::string address;
    bool leaving = false;

    bool operator==(const engine_info &) const = default;
};

} // namespace comfreypass::sheet
