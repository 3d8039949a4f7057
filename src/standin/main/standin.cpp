#include "standin/configuration_service.h"
#include "standin/instance_list.h"
#include "standin/model_engine.h"
#include "standin/plain_service.h"
#include "transport/epoll_reactor.h"

#include <CLI/CLI.hpp>

#include <charconv>
#include <chrono>
#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <string>

using namespace comfreypass;

namespace {

volatile std::sig_atomic_t stopRequested = 0;

void requestStop(int /*signal*/)
{
    stopRequested = 1;
}

/** Sets address and port from "ip:port"; IPv6 addresses are in brackets. */
void setListenAddress(transport::http_server_settings &http, const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        throw CLI::ValidationError("--listen", "must be ip:port");
    std::string address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']')
        address = address.substr(1, address.size() - 2);
    const char *end = text.data() + text.size();
    const auto [parsedEnd, error] = std::from_chars(text.data() + colon + 1, end, http.port);
    if (error != std::errc() || parsedEnd != end)
        throw CLI::ValidationError("--listen", "the port must be a number up to 65535");
    http.address = address;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw CLI::FileError::Missing(path);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

core::duration milliseconds(double value)
{
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double, std::milli>(value));
}

/** Listens, prints the address and serves until SIGTERM or SIGINT. Returns the exit code. */
template<class Standin>
int serve(transport::epoll_reactor &reactor, Standin &standin, const std::string &address)
{
    const auto port = standin.listen();
    if (!port) {
        std::cerr << core::describe(port.error()) << '\n';
        return 1;
    }
    std::cout << "listening on " << address << ":" << port.value() << std::endl;
    reactor.runUntil([] { return stopRequested != 0; });
    return 0;
}

/** Command line options of all subcommands. */
struct command_options
{
    std::string listen = "127.0.0.1:0";
    standin::model_engine_settings engine;
    double stepMilliseconds = 20;
    double loadLagMilliseconds = 500;
    standin::plain_service_settings service;
    double latencyMilliseconds = 5;
    standin::configuration_service_settings configuration;
    std::vector<std::string> values;
    standin::instance_list_settings instances;
    double lagMilliseconds = 0;
    std::string instancesFile;
};

int runEngine(command_options &options)
{
    setListenAddress(options.engine.http, options.listen);
    options.engine.stepTime = milliseconds(options.stepMilliseconds);
    options.engine.loadReportLag = milliseconds(options.loadLagMilliseconds);
    transport::epoll_reactor reactor;
    standin::model_engine engine(reactor.get(), options.engine);
    return serve(reactor, engine, options.engine.http.address);
}

int runService(command_options &options)
{
    setListenAddress(options.service.http, options.listen);
    options.service.latency = milliseconds(options.latencyMilliseconds);
    transport::epoll_reactor reactor;
    standin::plain_service service(reactor.get(), options.service);
    return serve(reactor, service, options.service.http.address);
}

int runConfiguration(command_options &options)
{
    setListenAddress(options.configuration.http, options.listen);
    transport::epoll_reactor reactor;
    standin::configuration_service service(reactor.get(), options.configuration);
    for (const std::string &assignment : options.values) {
        const std::size_t equals = assignment.find('=');
        if (equals == std::string::npos)
            throw CLI::ValidationError("--value", "must be key=file");
        service.put(assignment.substr(0, equals), readFile(assignment.substr(equals + 1)));
    }
    return serve(reactor, service, options.configuration.http.address);
}

int runInstances(command_options &options)
{
    setListenAddress(options.instances.http, options.listen);
    transport::epoll_reactor reactor;
    standin::instance_list list(reactor.get(), options.instances);
    if (!options.instancesFile.empty()) {
        const auto stored = list.put(readFile(options.instancesFile));
        if (!stored) {
            std::cerr << options.instancesFile << ": " << core::describe(stored.error()) << '\n';
            return 1;
        }
    }
    // The lag applies to changes, not to the initial document.
    list.setLag(milliseconds(options.lagMilliseconds));
    return serve(reactor, list, options.instances.http.address);
}

void addEngineOptions(CLI::App &command, command_options &options)
{
    command.add_option("--slots", options.engine.slots, "maximum number of running requests");
    command.add_option("--prefill-tokens-per-second", options.engine.prefillTokensPerSecond);
    command.add_option("--step-ms", options.stepMilliseconds, "duration of a decode step");
    command.add_option("--speed", options.engine.speed, "speed factor of the hardware generation");
    command.add_option("--prefix-cache-blocks", options.engine.prefixCacheBlocks);
    command.add_flag("--cold", options.engine.startCold, "start cold");
    command.add_option("--warm-after", options.engine.warmAfterResponses,
                       "completed responses after which a cold engine is warm");
    command.add_option("--cold-limit", options.engine.coldRequestLimit,
                       "maximum requests of a cold engine; more make it collapse");
    command.add_option("--load-lag-ms", options.loadLagMilliseconds,
                       "minimum age of the state in GET /load");
}

int run(int argumentCount, char **arguments)
{
    CLI::App app("Stand-ins for external systems of comfreypass, for tests and benchmarks.");
    app.require_subcommand(1);
    command_options options;
    int code = 0;

    const auto add = [&](const std::string &name, const std::string &description,
                         int (*start)(command_options &)) {
        CLI::App *command = app.add_subcommand(name, description);
        command->add_option("--listen", options.listen, "ip:port; port 0 selects a free port");
        command->callback([&, start] { code = start(options); });
        return command;
    };
    addEngineOptions(*add("engine", "model engine", &runEngine), options);
    add("service", "booking service", &runService)
        ->add_option("--latency-ms", options.latencyMilliseconds);
    add("configuration", "configuration service", &runConfiguration)
        ->add_option("--value", options.values, "key=file; the file's content is the key's value");
    CLI::App *instances = add("instances", "instance list", &runInstances);
    instances->add_option("--file", options.instancesFile, "initial document");
    instances->add_option("--lag-ms", options.lagMilliseconds,
                          "time until a change becomes visible");

    CLI11_PARSE(app, argumentCount, arguments);
    return code;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return run(argumentCount, arguments);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
