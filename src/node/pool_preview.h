#pragma once

#include "core/name.h"
#include "scheduling/engine_explanation.h"
#include "scheduling/load_report.h"
#include "scheduling/permit_request.h"
#include "sheet/engine_info.h"
#include "sheet/sheet.h"

#include <memory>
#include <span>
#include <vector>

namespace comfreypass::node {

/**
 * What the scheduler of an upstream would say of each engine for a request, if it held all votes
 * and the engines had the given load. The request's deadline counts from the zero time point.
 * Thread-safe.
 */
std::vector<scheduling::engine_explanation> previewPool(
    const std::shared_ptr<const sheet::sheet> &sheet, std::span<const sheet::engine_info> engines,
    std::span<const scheduling::load_report> loads, const scheduling::permit_request &request);

} // namespace comfreypass::node
