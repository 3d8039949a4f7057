#include "app/diff_command.h"

#include "app/exit_code.h"
#include "app/text_file.h"
#include "app/text_table.h"
#include "sheet/parse_sheet.h"
#include "sheet/sheet_diff.h"

#include <CLI/CLI.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <optional>
#include <ostream>

namespace comfreypass::app {

namespace {

using sheet::severity;
using sheet::sheet_change;

std::optional<sheet::sheet> readSheetFile(const std::string &path, console &terminal)
{
    const auto text = readTextFile(path, sheet::maxSheetBytes);
    if (!text) {
        terminal.err() << describe(text.error()) << '\n';
        return std::nullopt;
    }
    auto parsed = sheet::parseSheet(text.value());
    if (parsed)
        return std::move(parsed).value();
    for (const core::error &each : parsed.error())
        terminal.err() << path << ": " << describe(each) << '\n';
    return std::nullopt;
}

std::string colouredSeverity(const console &terminal, severity level)
{
    const std::string_view name = toString(level);
    if (level == severity::Info)
        return std::string(name);
    return terminal.coloured(name, level == severity::Dangerous ? console::colour::Red
                                                                : console::colour::Yellow);
}

void writeTable(const std::vector<sheet_change> &changes, console &terminal)
{
    if (changes.empty()) {
        terminal.out() << "no changes\n";
        return;
    }
    text_table table({"SEVERITY", "WHERE", "EFFECT"});
    for (const sheet_change &each : changes)
        table.addRow({colouredSeverity(terminal, each.level), each.where, each.detail});
    table.write(terminal.out());
}

void writeJson(const std::vector<sheet_change> &changes, console &terminal)
{
    boost::json::array list;
    for (const sheet_change &each : changes) {
        const std::string_view name = toString(each.level);
        list.push_back({{"severity", boost::json::string_view(name.data(), name.size())},
                        {"where", each.where},
                        {"detail", each.detail}});
    }
    terminal.out() << boost::json::serialize(boost::json::object{{"changes", std::move(list)}})
                   << '\n';
}

} // namespace

void diff_command::addOptions(CLI::App &options)
{
    options.add_option("old", m_oldPath, "Current sheet")->required();
    options.add_option("new", m_newPath, "Sheet that replaces it")->required();
    addOutputOption(options, m_format);
}

int diff_command::run(console &terminal)
{
    const auto before = readSheetFile(m_oldPath, terminal);
    const auto after = readSheetFile(m_newPath, terminal);
    if (!before || !after)
        return InvalidInput;
    const auto changes = sheet::sheetDiff(*before, *after);
    if (m_format == output_format::Json)
        writeJson(changes, terminal);
    else
        writeTable(changes, terminal);
    const bool isDangerous
        = std::any_of(changes.begin(), changes.end(),
                      [](const sheet_change &each) { return each.level == severity::Dangerous; });
    return isDangerous ? DangerousChange : Success;
}

} // namespace comfreypass::app
