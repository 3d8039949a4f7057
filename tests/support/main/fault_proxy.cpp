#include "support/fault_proxy.h"

#include "transport/epoll_reactor.h"
#include "transport/http_handler.h"
#include "transport/http_server.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>
#include <string>

using namespace comfreypass;

namespace {

volatile std::sig_atomic_t stopRequested = 0;

void requestStop(int /*signal*/)
{
    stopRequested = 1;
}

/** Executes the request body as a proxy command. */
class control_handler : public transport::http_handler
{
public:
    explicit control_handler(tests::fault_proxy &proxy) : m_proxy(proxy) { }

    void onRequest(std::shared_ptr<transport::http_exchange> exchange) override
    {
        const auto result = m_proxy.command(exchange->request().body);
        if (result)
            exchange->respond(200, {}, "ok\n");
        else
            exchange->respond(400, {}, core::describe(result.error()) + "\n");
    }

private:
    tests::fault_proxy &m_proxy;
};

int run(int argumentCount, char **arguments)
{
    CLI::App app("TCP proxy that injects faults; POST a command to the control port.");
    std::uint16_t listenPort = 0;
    std::uint16_t controlPort = 0;
    std::string targetAddress = "127.0.0.1";
    std::uint16_t targetPort = 0;
    app.add_option("--listen-port", listenPort, "port on loopback; 0 lets the system choose");
    app.add_option("--control-port", controlPort, "port on loopback; 0 lets the system choose");
    app.add_option("--target-address", targetAddress);
    app.add_option("--target-port", targetPort)->required();
    CLI11_PARSE(app, argumentCount, arguments);

    transport::epoll_reactor reactor;
    tests::fault_proxy proxy(reactor.get(), targetAddress, targetPort);
    const auto listening = proxy.listen("127.0.0.1", listenPort);
    control_handler handler(proxy);
    transport::http_server_settings settings;
    settings.port = controlPort;
    transport::http_server control(reactor.get(), settings, handler);
    const auto controlListening = control.listen();
    if (!listening || !controlListening) {
        std::cerr << core::describe(listening ? controlListening.error() : listening.error())
                  << '\n';
        return 1;
    }
    std::cout << "listening on 127.0.0.1:" << listening.value()
              << ", control on 127.0.0.1:" << controlListening.value() << std::endl;
    reactor.runUntil([] { return stopRequested != 0; });
    return 0;
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
