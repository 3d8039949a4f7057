#pragma once

#include "core/tier.h"
#include "core/time_point.h"

#include <cstdint>
#include <random>
#include <string>

namespace comfreypass::demo {

/** One request of a simulated member. */
struct member_request
{
    std::string name;
    std::string team;
    core::tier tier = 0;
    std::string method = "POST";
    std::string path;
    std::string body;
    /** Prompt as the model engine builds it from the messages; empty for plain services. */
    std::string prompt;
    std::uint32_t responseTokens = 0;
    bool stream = false;
    std::chrono::milliseconds deadline{10'000};
};

/**
 * Generates random requests in the mix of ACIB Rutas: many small ones, some long summaries, some
 * bookings.
 */
class workload
{
public:
    explicit workload(std::uint64_t seed);

    member_request next();

private:
    struct request_profile;

    std::string randomText(std::size_t characters);

    std::mt19937_64 m_random;
    std::uint64_t m_count = 0;
};

} // namespace comfreypass::demo
