#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>

namespace {

/**
 * Names that only the adapter may use. Comfreypass-Deadline-Ms is not listed, since the product's
 * own interface has a field of that name.
 */
constexpr std::array<std::string_view, 14> platformNames = {
    "kv-watch",
    "kv-range",
    "kv-key",
    "/api/resolve",
    "/api/ready",
    "Comfreypass-Attempt-Id",
    "Comfreypass-Prompt-Prefix",
    "Comfreypass-Response-Seal",
    "Comfreypass-Token-Counts",
    "Comfreypass-Expect-Instance",
    "op/evacuate",
    "ColdLeftMs",
    "ColdPerS",
    "RatePerS",
};

std::string textOf(const std::filesystem::path &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

} // namespace

class boundary_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(boundary_test);
    CPPUNIT_TEST(onlyTheAdapterUsesPlatformNames);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against platform names outside the adapter.
    void onlyTheAdapterUsesPlatformNames()
    {
        const std::filesystem::path source = std::filesystem::path(COMFREYPASS_SOURCE_DIR) / "src";
        std::size_t files = 0;
        for (const auto &entry : std::filesystem::recursive_directory_iterator(source)) {
            if (!entry.is_regular_file())
                continue;
            ++files;
            const std::string text = textOf(entry.path());
            for (const std::string_view name : platformNames)
                CPPUNIT_ASSERT_MESSAGE(entry.path().string() + " names " + std::string(name),
                                       text.find(name) == std::string::npos);
        }
        CPPUNIT_ASSERT(files > 100);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(boundary_test);
