#pragma once

#include <string>

namespace comfreypass::sheet {

/** What the sheet says of one failure domain. */
struct domain_spec
{
    std::string region;
    /** False while operators have taken the failure domain out of service. */
    bool inService = true;
};

} // namespace comfreypass::sheet
