#include "sheet/sheet.h"

namespace comfreypass::sheet {

bool sheet::isDomainInService(const core::domain_name &domain) const
{
    const auto found = domains.find(domain);
    return found != domains.end() && found->second.inService;
}

} // namespace comfreypass::sheet
