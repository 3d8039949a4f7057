#pragma once

#include <string>

namespace comfreypass::sheet {

/** Settings of one failure domain in the sheet. */
struct domain_spec
{
    std::string region;
    /** False while operators have taken the failure domain out of service. */
    bool inService = true;
};

} // namespace comfreypass::sheet
