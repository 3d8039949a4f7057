#pragma once

#include "core/error.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

/** Returns whether an error has this pointer, contains the text in its detail and has a remedy. */
inline bool hasError(const std::vector<comfreypass::core::error> &errors, std::string_view where,
                     std::string_view detail)
{
    return std::any_of(errors.begin(), errors.end(), [&](const auto &each) {
        return each.where == where && each.detail.find(detail) != std::string::npos
               && !each.remedy.empty();
    });
}
