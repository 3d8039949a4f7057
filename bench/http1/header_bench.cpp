#include "http1/forwarded_headers.h"
#include "http1/message_parser.h"
#include "transport/message_framing.h"

#include <benchmark/benchmark.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

using namespace comfreypass;
using namespace comfreypass::http1;

namespace {

/** Half of the header is a Connection field with distinct names, the rest are short fields. */
std::string buildHeader(std::size_t bytes)
{
    std::string header = "GET / HTTP/1.1\r\nHost: x\r\nConnection: a";
    for (std::size_t i = 0; header.size() < bytes / 2; ++i)
        header += ",o" + std::to_string(i);
    for (std::size_t i = 0; header.size() + 16 < bytes; ++i)
        header += "\r\nf" + std::to_string(10'000 + i) + ": 1";
    return header + "\r\n\r\n";
}

/** Adds a counter; the library shows an inverted rate with an "s", which does not belong to it. */
void countBytes(benchmark::State &state, std::size_t bytes)
{
    const auto total = static_cast<double>(state.iterations()) * static_cast<double>(bytes);
    constexpr double nanosecond = 1e-9;
    state.counters["ns/byte"] = benchmark::Counter(
        total * nanosecond, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

/** Measures a header that arrives at once: parsing, framing check and selection of the fields. */
void forwardHeader(benchmark::State &state)
{
    const std::string header = buildHeader(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) {
        message_parser parser(message_kind::Request, 2 * header.size(), [](std::string_view) {});
        if (!parser.parse(header) || !parser.complete())
            state.SkipWithError("the header is invalid");
        benchmark::DoNotOptimize(forwardedHeaders(parser.head().headers));
    }
    countBytes(state, header.size());
}

/** Measures the parsing of a header that arrives byte by byte. */
void parseByteByByte(benchmark::State &state)
{
    const std::string header = buildHeader(static_cast<std::size_t>(state.range(0)));
    const std::string_view view = header;
    for (auto _ : state) {
        message_parser parser(message_kind::Request, 2 * header.size(), [](std::string_view) {});
        std::size_t consumed = 0;
        for (std::size_t end = 1; end <= view.size(); ++end) {
            const auto count = parser.parse(view.substr(consumed, end - consumed));
            if (!count) {
                state.SkipWithError("the header is invalid");
                return;
            }
            consumed += count.value();
        }
    }
    countBytes(state, header.size());
}

constexpr std::int64_t kibibyte = 1'024;

BENCHMARK(forwardHeader)->RangeMultiplier(4)->Range(kibibyte, 64 * kibibyte);
BENCHMARK(parseByteByByte)->RangeMultiplier(4)->Range(kibibyte, 64 * kibibyte);

} // namespace

BENCHMARK_MAIN();
