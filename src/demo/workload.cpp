#include "demo/workload.h"

#include <boost/json.hpp>

#include <array>
#include <string_view>

namespace comfreypass::demo {

namespace json = boost::json;

/** Properties and frequency of one kind of request. */
struct workload::request_profile
{
    std::string_view name;
    std::string_view team;
    core::tier tier;
    std::string_view model;
    std::size_t promptCharacters;
    std::uint32_t responseTokens;
    bool stream;
    std::chrono::milliseconds deadline;
    double fraction;
};

namespace {

constexpr std::string_view systemPrompt
    = "You help crews who install bicycle racks outside schools, clinics and markets. ";

} // namespace

workload::workload(std::uint64_t seed) : m_random(seed) { }

member_request workload::next()
{
    using namespace std::chrono_literals;
    // An empty model name means a booking or a slot query at the plain service.
    static constexpr std::array<request_profile, 6> profiles = {{
        {"booking", "cuadrillas", 0, "", 0, 0, false, 5s, 0.10},
        {"slot look-up", "cuadrillas", 1, "", 0, 0, false, 5s, 0.10},
        {"permit wording", "permisos", 1, "asesor-14b", 1'200, 40, true, 8s, 0.25},
        {"photo tag", "fotos", 2, "asesor-fotos-3b", 200, 8, false, 6s, 0.35},
        {"survey draft", "levantamientos", 2, "asesor-14b", 3'000, 80, true, 12s, 0.15},
        {"archive summary", "archivo", 4, "asesor-14b", 16'000, 120, false, 30s, 0.05},
    }};
    std::uniform_real_distribution<double> unitInterval(0, 1);
    double sample = unitInterval(m_random);
    const request_profile *profile = &profiles.back();
    for (const request_profile &candidate : profiles) {
        if (sample < candidate.fraction) {
            profile = &candidate;
            break;
        }
        sample -= candidate.fraction;
    }

    ++m_count;
    member_request request;
    request.name = profile->name;
    request.team = profile->team;
    request.tier = profile->tier;
    request.deadline = profile->deadline;
    if (profile->model.empty()) {
        const bool booking = profile->tier == 0;
        request.method = booking ? "POST" : "GET";
        request.path = booking ? "/services/agenda-cuadrillas/bookings"
                               : "/services/agenda-cuadrillas/slots";
        if (booking)
            request.body
                = json::serialize(json::object{{"key", "slot-" + std::to_string(m_count)}});
        return request;
    }
    const std::string content = std::string(systemPrompt) + randomText(profile->promptCharacters);
    request.path = "/v1/chat/completions";
    request.stream = profile->stream;
    request.responseTokens = profile->responseTokens;
    request.prompt = "user\n" + content + "\n";
    request.body = json::serialize(
        json::object{{"model", json::string_view(profile->model.data(), profile->model.size())},
                     {"stream", profile->stream},
                     {"max_tokens", profile->responseTokens},
                     {"messages", json::array{{{"role", "user"}, {"content", content}}}}});
    return request;
}

std::string workload::randomText(std::size_t characters)
{
    std::uniform_int_distribution<int> letter('a', 'z');
    std::string text = std::to_string(m_count) + " ";
    while (text.size() < characters)
        text += static_cast<char>(letter(m_random));
    return text;
}

} // namespace comfreypass::demo
