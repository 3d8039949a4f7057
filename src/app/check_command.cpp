#include "app/check_command.h"

#include "app/exit_code.h"
#include "app/text_table.h"

#include <CLI/CLI.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <map>
#include <ostream>

namespace comfreypass::app {

namespace {

std::string countText(std::size_t count, const char *noun)
{
    return std::to_string(count) + " " + noun + (count == 1 ? "" : "s");
}

void writeTable(const document_check &check, console &terminal)
{
    text_table table({"SEVERITY", "WHERE", "DETAIL", "REMEDY"});
    const std::string error = terminal.coloured("error", console::colour::Red);
    const std::string warning = terminal.coloured("warning", console::colour::Yellow);
    const auto addRows = [&](const std::string &severity, const std::vector<core::error> &list) {
        for (const core::error &each : list)
            table.addRow(
                {severity, each.where.empty() ? "-" : each.where, each.detail, each.remedy});
    };
    addRows(error, check.errors);
    addRows(warning, check.warnings);

    terminal.out() << check.path << " (" << toString(check.kind) << "): ";
    if (check.errors.empty())
        terminal.out() << terminal.coloured("valid", console::colour::Green);
    else
        terminal.out() << terminal.coloured(countText(check.errors.size(), "error"),
                                            console::colour::Red);
    if (!check.warnings.empty())
        terminal.out() << ", " << countText(check.warnings.size(), "warning");
    terminal.out() << '\n';
    table.write(terminal.out());
}

boost::json::array toJson(const std::vector<core::error> &list)
{
    boost::json::array array;
    for (const core::error &each : list) {
        const std::string_view code = toString(each.code);
        array.push_back({{"code", boost::json::string_view(code.data(), code.size())},
                         {"where", each.where},
                         {"detail", each.detail},
                         {"remedy", each.remedy}});
    }
    return array;
}

void writeJson(const std::vector<document_check> &checks, console &terminal)
{
    boost::json::array files;
    for (const document_check &check : checks) {
        const std::string_view kind = toString(check.kind);
        files.push_back({{"path", check.path},
                         {"kind", boost::json::string_view(kind.data(), kind.size())},
                         {"errors", toJson(check.errors)},
                         {"warnings", toJson(check.warnings)}});
    }
    terminal.out() << boost::json::serialize(boost::json::object{{"files", std::move(files)}})
                   << '\n';
}

} // namespace

void check_command::addOptions(CLI::App &options)
{
    static const std::map<std::string, document_kind> names
        = {{"auto", document_kind::Auto},
           {"sheet", document_kind::Sheet},
           {"settings", document_kind::Settings},
           {"gateway-settings", document_kind::GatewaySettings},
           {"configuration", document_kind::Configuration}};
    options.add_option("files", m_paths, "Sheets, settings and gateway files")->required();
    options
        .add_option("--kind", m_kind,
                    "Kind of the files; auto (default) detects sheets and settings")
        ->transform(CLI::CheckedTransformer(names))
        ->option_text("sheet|settings|gateway-settings|configuration|auto");
    addOutputOption(options, m_format);
}

int check_command::run(console &terminal)
{
    std::vector<document_check> checks;
    for (const std::string &path : m_paths)
        checks.push_back(checkDocument(path, m_kind));
    checkTogether(checks);

    if (m_format == output_format::Json) {
        writeJson(checks, terminal);
    } else {
        for (const document_check &check : checks)
            writeTable(check, terminal);
    }
    const bool isValid = std::all_of(checks.begin(), checks.end(),
                                     [](const auto &check) { return check.errors.empty(); });
    return isValid ? Success : InvalidInput;
}

} // namespace comfreypass::app
