#include "app/explain_command.h"

#include "app/exit_code.h"
#include "app/text_file.h"
#include "app/text_table.h"
#include "node/instance_listing.h"
#include "node/load_poller.h"
#include "node/pool_preview.h"
#include "node/routing_table.h"
#include "observe/request_timeline.h"
#include "sheet/parse_sheet.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <ostream>
#include <utility>

namespace comfreypass::app {

namespace {

namespace json = boost::json;
using scheduling::engine_explanation;

constexpr std::size_t maxSnapshotBytes = 1'000'000;

std::vector<scheduling::load_report> readLoads(const std::string &snapshot)
{
    std::vector<scheduling::load_report> loads;
    json::error_code code;
    const json::value document = json::parse(snapshot, code);
    const json::object *object = code ? nullptr : document.if_object();
    const json::value *list = object ? object->if_contains("loads") : nullptr;
    if (!list || !list->is_array())
        return loads;
    for (const json::value &entry : list->get_array()) {
        const json::object *load = entry.if_object();
        const json::value *engine = load ? load->if_contains("engine") : nullptr;
        if (!engine || !engine->is_string())
            continue;
        const core::engine_name name(std::string_view(engine->get_string()));
        if (auto report = node::parseLoadReport(name, json::serialize(entry)))
            loads.push_back(report.value());
    }
    return loads;
}

std::int64_t milliseconds(core::duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

void write(console &terminal, output_format format, const core::upstream_name &upstream,
           const std::vector<engine_explanation> &engines)
{
    if (format == output_format::Json) {
        json::array list;
        for (const engine_explanation &each : engines)
            list.push_back({{"engine", each.engine.text()},
                            {"verdict", std::string(toString(each.result))},
                            {"estimate_ms", milliseconds(each.estimate)}});
        terminal.out() << json::serialize(
            json::object{{"upstream", upstream.text()}, {"engines", std::move(list)}})
                       << '\n';
        return;
    }
    terminal.out() << "upstream " << upstream.text() << '\n';
    text_table table({"ENGINE", "VERDICT", "ESTIMATE"});
    for (const engine_explanation &each : engines)
        table.addRow({each.engine.text(), std::string(toString(each.result)),
                      std::to_string(milliseconds(each.estimate)) + " ms"});
    table.write(terminal.out());
}

std::string fieldsText(const observe::log_entry &entry)
{
    std::string text;
    for (const auto &[name, value] : entry.fields) {
        const bool isAdditional = name != "request" && !value.empty() && value != entry.message;
        if (isAdditional)
            text += (text.empty() ? "" : " ") + name + "=" + value;
    }
    return text;
}

void writeTable(std::ostream &out, const std::vector<observe::log_entry> &entries)
{
    text_table table({"TIME", "NODE", "EVENT", "MESSAGE", "DETAILS"});
    for (const observe::log_entry &each : entries)
        table.addRow({each.time, each.node, each.event, each.message, fieldsText(each)});
    table.write(out);
}

json::array asJson(const std::vector<observe::log_entry> &entries)
{
    json::array list;
    for (const observe::log_entry &each : entries) {
        json::object object{{"time", each.time},
                            {"node", each.node},
                            {"event", each.event},
                            {"message", each.message}};
        for (const auto &[name, value] : each.fields)
            object.emplace(name, value);
        list.push_back(std::move(object));
    }
    return list;
}

void write(console &terminal, output_format format, const std::string &id,
           const observe::request_timeline &timeline)
{
    if (format == output_format::Json) {
        const json::object document{{"request", id},
                                    {"lines", asJson(timeline.requestLines())},
                                    {"known_before", asJson(timeline.stateEvents())},
                                    {"lines_read", timeline.linesRead()},
                                    {"lines_skipped", timeline.linesSkipped()}};
        terminal.out() << json::serialize(document) << '\n';
        return;
    }
    terminal.out() << "request " << id << "\n\nState changes known to the node at that time\n";
    writeTable(terminal.out(), timeline.stateEvents());
    terminal.out() << "\nLog lines of the request\n";
    writeTable(terminal.out(), timeline.requestLines());
    terminal.out() << '\n'
                   << timeline.linesRead() << " lines read, " << timeline.linesSkipped()
                   << " skipped (not log lines)\n";
}

} // namespace

void explain_command::addOptions(CLI::App &options)
{
    options.add_option("--id", m_requestId, "Request id to look up in the logs");
    options.add_option("logs", m_logPaths, "Log files of the nodes (with --id)");
    options.add_option("--sheet", m_sheetPath, "Sheet file");
    options.add_option("--snapshot", m_snapshotPath, "Snapshot file: instances and their load");
    options.add_option("--team", m_team, "Team that sends the request");
    options.add_option("--model", m_model, "Requested model");
    options.add_option("--tier", m_tier, "Tier (default: the highest of the team)")
        ->check(CLI::Range(0, static_cast<int>(core::lowestTier)));
    options.add_option("--prompt-tokens", m_promptTokens, "Number of prompt tokens")
        ->capture_default_str();
    options.add_option("--answer-tokens", m_responseTokens, "Number of response tokens")
        ->capture_default_str();
    options
        .add_option("--deadline-ms", m_deadlineMs,
                    "Remaining time until the deadline in milliseconds")
        ->check(CLI::Range(1, 3'600'000))
        ->capture_default_str();
    addOutputOption(options, m_format);
}

int explain_command::run(console &terminal)
{
    if (!m_requestId.empty())
        return explainRequest(terminal);
    if (m_sheetPath.empty() || m_snapshotPath.empty() || m_team.empty() || m_model.empty()) {
        terminal.err() << "specify --id and logs, or --sheet, --snapshot, --team and --model\n";
        return InvalidInput;
    }
    return explainRouting(terminal);
}

int explain_command::explainRequest(console &terminal)
{
    observe::request_timeline timeline(m_requestId);
    const auto readAll = [&timeline](std::istream &source) {
        for (std::string line; std::getline(source, line);)
            timeline.feed(line);
    };
    if (m_logPaths.empty())
        readAll(std::cin);
    for (const std::string &path : m_logPaths) {
        std::ifstream file(path);
        if (!file) {
            terminal.err() << path << ": cannot be read; check the path and its permissions\n";
            return InvalidInput;
        }
        readAll(file);
    }
    const std::vector<observe::log_entry> requestLines = timeline.requestLines();
    if (requestLines.empty()) {
        terminal.err() << "none of " << timeline.linesRead() << " lines contains request '"
                       << m_requestId << "'; its node may have dropped the line under load\n";
        return Failure;
    }
    write(terminal, m_format, m_requestId, timeline);
    return Success;
}

int explain_command::explainRouting(console &terminal)
{
    const auto sheetText = readTextFile(m_sheetPath, sheet::maxSheetBytes);
    const auto snapshotText = readTextFile(m_snapshotPath, maxSnapshotBytes);
    if (!sheetText || !snapshotText) {
        terminal.err() << describe(sheetText ? snapshotText.error() : sheetText.error()) << '\n';
        return InvalidInput;
    }
    auto parsed = sheet::parseSheet(sheetText.value());
    const auto listing = node::parseInstanceListing(snapshotText.value());
    if (!parsed || !listing) {
        const core::error &error = parsed ? listing.error() : parsed.error().front();
        terminal.err() << (parsed ? m_snapshotPath : m_sheetPath) << ": " << describe(error)
                       << '\n';
        return InvalidInput;
    }
    const auto sheet = std::make_shared<const sheet::sheet>(std::move(parsed).value());
    const core::team_name team(m_team);
    if (!sheet->teams.contains(team)) {
        terminal.err() << "the sheet has no team '" << m_team << "'\n";
        return Failure;
    }
    const std::optional<core::tier> tier
        = m_tier < 0 ? std::nullopt : std::optional(static_cast<core::tier>(m_tier));
    const auto route = node::routing_table(sheet).routeModel(team, tier, core::model_name(m_model));
    if (!route) {
        terminal.err() << describe(route.error()) << '\n';
        return Failure;
    }

    scheduling::permit_request request;
    request.request = UINT64_MAX;
    request.model = core::model_name(m_model);
    request.tier = route.value().tier;
    request.team = team;
    request.cost = {m_promptTokens, m_responseTokens};
    request.deadline = core::time_point(std::chrono::milliseconds(m_deadlineMs));
    const std::vector<scheduling::load_report> loads = readLoads(snapshotText.value());
    bool hasUsableEngine = false;
    for (const core::upstream_name &upstream : route.value().upstreams) {
        request.upstream = upstream;
        const auto engines = node::previewPool(sheet, listing.value().engines, loads, request);
        write(terminal, m_format, upstream, engines);
        hasUsableEngine
            = hasUsableEngine || std::any_of(engines.begin(), engines.end(), [](const auto &each) {
                  return each.result == engine_explanation::status::Usable;
              });
    }
    return hasUsableEngine ? Success : Failure;
}

} // namespace comfreypass::app
