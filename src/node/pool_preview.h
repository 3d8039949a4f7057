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
 * Returns the scheduler's explanation of each engine for a request, under the assumption that the
 * scheduler holds all votes and the engines have the given load. The request's deadline is relative
 * to the zero time point. Thread-safe.
 */
std::vector<scheduling::engine_explanation> previewPool(
    const std::shared_ptr<const sheet::sheet> &sheet, std::span<const sheet::engine_info> engines,
    std::span<const scheduling::load_report> loads, const scheduling::permit_request &request);

} // namespace comfreypass::node
