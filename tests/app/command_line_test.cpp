#include "app/command_line.h"
#include "app/command_table.h"
#include "app/exit_code.h"

#include <boost/json/parse.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

using namespace comfreypass::app;

namespace {

const std::string examples = COMFREYPASS_SOURCE_DIR "/examples/";
const std::string acib = examples + "acib-rutas.sheet.json";
const std::string splitDay = examples + "split-day.sheet.json";
const std::string retorno = examples + "retorno-norte.sheet.json";
const std::string entry1 = examples + "entry-1.settings.json";

struct run_result
{
    int code;
    std::string out;
    std::string err;

    bool prints(const std::string &text) const { return out.find(text) != std::string::npos; }
};

run_result runWith(std::vector<std::string> arguments, bool useColours = false)
{
    std::ostringstream out;
    std::ostringstream err;
    console terminal(out, err, useColours);
    const int code = runCommandLine(std::move(arguments), terminal);
    return {code, out.str(), err.str()};
}

/** File in the temporary directory; its destructor removes it. */
class temporary_file
{
public:
    explicit temporary_file(const std::string &content)
        : m_path(std::filesystem::temp_directory_path()
                 / ("comfreypass-app-test-" + std::to_string(++created) + "-"
                    + std::to_string(std::filesystem::hash_value(content)) + ".json"))
    {
        std::ofstream(m_path) << content;
    }
    ~temporary_file() { std::filesystem::remove(m_path); }
    temporary_file(const temporary_file &) = delete;
    temporary_file &operator=(const temporary_file &) = delete;

    std::string path() const { return m_path.string(); }

private:
    static inline int created = 0;
    std::filesystem::path m_path;
};

std::string readExample(const std::string &path)
{
    std::ostringstream content;
    content << std::ifstream(path).rdbuf();
    return content.str();
}

} // namespace

class command_line_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(command_line_test);
    CPPUNIT_TEST(everyExampleIsValid);
    CPPUNIT_TEST(checkShowsEveryErrorAndExitsWithTwo);
    CPPUNIT_TEST(checkReportsUnreadableAndUnrecognizedFiles);
    CPPUNIT_TEST(checkComparesSettingsWithSheetAndOtherSettings);
    CPPUNIT_TEST(diffExitCodeReportsDangerousChange);
    CPPUNIT_TEST(jsonOutputIsOneDocument);
    CPPUNIT_TEST(reportExitCodeReportsPageAlert);
    CPPUNIT_TEST(everyCommandDocumentsItsExitCodes);
    CPPUNIT_TEST(wrongArgumentsAreUsageErrors);
    CPPUNIT_TEST(coloursAreUsedOnlyIfEnabled);
    CPPUNIT_TEST(requestIsExplainedFromLogs);
    CPPUNIT_TEST(gatewayFilesAreChecked);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against `explain` omitting log lines that show why a request failed.
    void requestIsExplainedFromLogs()
    {
        const temporary_file first(
            R"({"time":"2026-03-24T10:00:03.000Z","level":"warning","node":"a",)"
            R"("event":"request_ended","message":"refused","request":"r1","reason":"no_engine"})"
            "\ncut line\n");
        const temporary_file second(
            R"({"time":"2026-03-24T10:00:01.000Z","level":"info","node":"a",)"
            R"("event":"configuration_applied","message":"in force","version":"4"})"
            "\n");
        const run_result table = runWith({"explain", "--id", "r1", first.path(), second.path()});
        CPPUNIT_ASSERT_EQUAL(int{Success}, table.code);
        for (const char *text : {"no_engine", "version=4", "3 lines read, 1 skipped"})
            CPPUNIT_ASSERT_MESSAGE(text, table.prints(text));
        const run_result document
            = runWith({"explain", "--id", "r1", "--output", "json", first.path(), second.path()});
        const auto parsed = boost::json::parse(document.out).as_object();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, parsed.at("lines").as_array().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, parsed.at("known_before").as_array().size());
        CPPUNIT_ASSERT_EQUAL(int{Failure}, runWith({"explain", "--id", "r2", first.path()}).code);
        CPPUNIT_ASSERT_EQUAL(int{InvalidInput},
                             runWith({"explain", "--id", "r1", "/nowhere/node.log"}).code);
        CPPUNIT_ASSERT_EQUAL(int{InvalidInput}, runWith({"explain", "--team", "t"}).code);
    }

    // Guards against errors in gateway files that are first detected when a node applies them.
    void gatewayFilesAreChecked()
    {
        const temporary_file settings(R"({"name": "n", "listen": {}, "unknown": 1})");
        const run_result bad = runWith({"check", "--kind", "gateway-settings", settings.path()});
        CPPUNIT_ASSERT_EQUAL(int{InvalidInput}, bad.code);
        for (const char *text : {"/failureDomain", "/listen/callers", "/records", "/unknown"})
            CPPUNIT_ASSERT_MESSAGE(text, bad.prints(text));
        const temporary_file configuration(
            R"({"Version":1,"Routes":[{"Name":"r1","Host":"h","PathPrefix":"/a/","TimeoutMs":100,)"
            R"("AimMs":200,"Service":"s1","Public":true}],"Services":[{"Name":"s1"}]})");
        const run_result odd = runWith({"check", "--kind", "configuration", configuration.path()});
        CPPUNIT_ASSERT_EQUAL(int{Success}, odd.code);
        CPPUNIT_ASSERT(odd.prints("1 warning"));
        CPPUNIT_ASSERT(odd.prints("route r1"));
        const temporary_file broken(R"({"Version":1,"Routes":[{"Name":"r1"}]})");
        CPPUNIT_ASSERT_EQUAL(int{InvalidInput},
                             runWith({"check", "--kind", "configuration", broken.path()}).code);
    }

    // Guards against invalid example files, which users copy.
    void everyExampleIsValid()
    {
        std::vector<std::string> arguments = {"check"};
        for (const auto &entry : std::filesystem::directory_iterator(examples))
            arguments.push_back(entry.path().string());
        CPPUNIT_ASSERT(arguments.size() >= 5);
        const run_result result = runWith(arguments);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.out, int{Success}, result.code);
        CPPUNIT_ASSERT_MESSAGE(result.out, !result.prints("warning"));
    }

    // Guards against a check that stops at the first error, or exits with 0 despite errors.
    void checkShowsEveryErrorAndExitsWithTwo()
    {
        const temporary_file file(R"({"revision": -1, "halves": [], "x": 1})");
        const run_result result = runWith({"check", "--kind", "sheet", file.path(), acib});
        CPPUNIT_ASSERT_EQUAL(int{InvalidInput}, result.code);
        for (const char *text : {"/revision", "/fleet", "/halves", "/failure_domains", "/x",
                                 "5 errors", "remove it or use one of"})
            CPPUNIT_ASSERT_MESSAGE(text, result.prints(text));
    }

    // Guards against reporting a file as valid although it could not be checked.
    void checkReportsUnreadableAndUnrecognizedFiles()
    {
        CPPUNIT_ASSERT_EQUAL(int{InvalidInput}, runWith({"check", examples + "none"}).code);
        CPPUNIT_ASSERT_EQUAL(int{InvalidInput}, runWith({"check", examples}).code);
        const temporary_file file("{}");
        const run_result result = runWith({"check", file.path()});
        CPPUNIT_ASSERT_EQUAL(int{InvalidInput}, result.code);
        CPPUNIT_ASSERT(result.prints("--kind"));
    }

    // Guards against settings with a failure domain that the sheet lacks, and against copied
    // settings with the same name and ports.
    void checkComparesSettingsWithSheetAndOtherSettings()
    {
        CPPUNIT_ASSERT(runWith({"check", retorno, entry1}).prints("\"sanjose-a\" is not in"));
        const temporary_file copy(readExample(entry1));
        const run_result result = runWith({"check", entry1, copy.path()});
        CPPUNIT_ASSERT_EQUAL(int{InvalidInput}, result.code);
        CPPUNIT_ASSERT(result.prints("4 errors"));
    }

    // Guards against scripts that load a dangerous change or reject a safe one.
    void diffExitCodeReportsDangerousChange()
    {
        const run_result dangerous = runWith({"diff", acib, splitDay});
        CPPUNIT_ASSERT_EQUAL(int{DangerousChange}, dangerous.code);
        CPPUNIT_ASSERT(dangerous.prints("/teams/cuadrillas"));
        CPPUNIT_ASSERT_EQUAL(int{Success}, runWith({"diff", acib, acib}).code);
        const run_result unreadable = runWith({"diff", acib, entry1});
        CPPUNIT_ASSERT_EQUAL(int{InvalidInput}, unreadable.code);
        CPPUNIT_ASSERT(unreadable.err.find("/revision") != std::string::npos);
    }

    // Guards against JSON output that other programs cannot parse.
    void jsonOutputIsOneDocument()
    {
        const auto check
            = boost::json::parse(runWith({"check", "--output", "json", acib, entry1}).out);
        CPPUNIT_ASSERT(check.at_pointer("/files/1/kind") == "settings");
        const auto diff
            = boost::json::parse(runWith({"diff", "--output", "json", acib, splitDay}).out);
        CPPUNIT_ASSERT(diff.at_pointer("/changes/0/severity") == "dangerous");
    }

    // Guards against scripts that miss a firing alert, or treat a damaged file as no alert.
    void reportExitCodeReportsPageAlert()
    {
        const auto snapshot = [](const char *time, const char *total, const char *good) {
            const std::string labels = "{tier=\"0\",team=\"a\",half=\"north\"} ";
            return "comfreypass_node_info{node=\"entry-1\",incarnation=\"1\"} 1\n"
                   "comfreypass_team_requests_total"
                   + labels + total + "\ncomfreypass_team_on_time_requests_total" + labels + good
                   + "\ncomfreypass_snapshot_time_seconds " + time + "\n";
        };
        const temporary_file first(snapshot("1000", "100", "100"));
        const temporary_file good(snapshot("4600", "200", "200"));
        const temporary_file bad(snapshot("4600", "200", "150"));
        const temporary_file damaged("comfreypass_node_info{node=");
        CPPUNIT_ASSERT_EQUAL(int{Success}, runWith({"report", first.path(), good.path()}).code);
        const run_result alert = runWith({"report", first.path(), bad.path()});
        CPPUNIT_ASSERT_EQUAL(int{BudgetBurning}, alert.code);
        CPPUNIT_ASSERT(alert.prints("50.00%") && alert.prints("page over 14.40"));
        const auto json = boost::json::parse(
            runWith({"report", "--output", "json", first.path(), bad.path()}).out);
        CPPUNIT_ASSERT(json.at_pointer("/rows/0/alerts/0/fires") == true);
        CPPUNIT_ASSERT(
            runWith({"report", "--output", "html", first.path(), bad.path()}).prints("<svg"));
        CPPUNIT_ASSERT_EQUAL(int{InvalidInput}, runWith({"report", first.path()}).code);
        CPPUNIT_ASSERT_EQUAL(int{InvalidInput},
                             runWith({"report", first.path(), good.path(), damaged.path()}).code);
    }

    // Guards against a new command with undocumented exit codes.
    void everyCommandDocumentsItsExitCodes()
    {
        for (const command_row &row : commandTable()) {
            const run_result result = runWith({row.name, "--help"});
            CPPUNIT_ASSERT_EQUAL(int{Success}, result.code);
            CPPUNIT_ASSERT_MESSAGE(row.name, result.prints("Exit codes:"));
        }
    }

    // Guards against a mistyped option with the same exit code as an invalid sheet.
    void wrongArgumentsAreUsageErrors()
    {
        CPPUNIT_ASSERT_EQUAL(int{Usage}, runWith({}).code);
        CPPUNIT_ASSERT_EQUAL(int{Usage}, runWith({"chekc", acib}).code);
        CPPUNIT_ASSERT_EQUAL(int{Usage}, runWith({"check"}).code);
        CPPUNIT_ASSERT_EQUAL(int{Usage}, runWith({"check", "--output", "xml", acib}).code);
        CPPUNIT_ASSERT_EQUAL(int{Usage}, runWith({"diff", acib}).code);
    }

    // Guards against colour sequences in files and pipes.
    void coloursAreUsedOnlyIfEnabled()
    {
        CPPUNIT_ASSERT(!runWith({"check", acib}).prints("\x1b["));
        CPPUNIT_ASSERT(runWith({"check", acib}, true).prints("\x1b["));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(command_line_test);
