#pragma once

#include "support/loopback.h"
#include "support/recorded_call.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>

namespace comfreypass::tests::early_response {

/** What an upstream does after it has responded to a request before the end of its body. */
enum class upload_end : std::uint8_t { ResetAtOnce, Reset, EndThenReset, EndThenReadOn, ReadOn };

inline constexpr std::array<upload_end, 5> allEnds
    = {upload_end::ResetAtOnce, upload_end::Reset, upload_end::EndThenReset,
       upload_end::EndThenReadOn, upload_end::ReadOn};

/** Runs a call with a large body whose upstream has read only a part of it when it responds. */
std::shared_ptr<recorded_call> run(loopback &loop, const std::string &response, upload_end end);

} // namespace comfreypass::tests::early_response
