#pragma once

#include <string>

namespace comfreypass::sheet {

/** One operation of a plain service. */
struct operation_spec
{
    std::string method;
    /** Path below the upstream; a trailing '*' matches any rest. */
    std::string path;
    bool idempotent = false;
};

} // namespace comfreypass::sheet
