#include "apps/command_line.hpp"
#include "standins/backend_standin.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <thread>

namespace
{
using namespace bilberrytally;

constexpr std::uint64_t max_body = 64U << 20U;
constexpr std::uint64_t max_header = 64U << 10U;
constexpr base::duration_ms read_timeout{600000};

std::uint32_t
number(const app::command_line& line, const std::string& name, unsigned value)
{
    return static_cast<std::uint32_t>(
        std::stoul(line.value(name, std::to_string(value))));
}

base::result<int> run(int argc, const char** argv)
{
    BOOST_LEAF_AUTO(
        line,
        app::command_line::parse(
            argc, argv,
            {{"instance", 'i', "Instance id", "ID"},
             {"port", 'p', "Port to serve", "PORT"},
             {"node-port", 'n', "Caller port of the own node", "PORT"},
             {"slots", 's', "Requests run at a time", "N"},
             {"queue", 'q', "Requests waiting at the most", "N"},
             {"record", 'r', "File for the record of executions", "FILE"}},
            ""));
    standins::backend_settings settings;
    settings.instance = line.value("instance");
    settings.port = number(line, "port", 0);
    settings.node_port = number(line, "node-port", 0);
    settings.slots = number(line, "slots", settings.slots);
    settings.queue = number(line, "queue", settings.queue);
    settings.record = line.value("record");

    asio::io_context context;
    const auto work = asio::make_work_guard(context);
    standins::backend_standin backend(context, settings);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](std::error_code, int) { context.stop(); });
    std::jthread worker([&] { context.run(); });
    auto opened = http::http_server::open(
        context,
        {settings.host, settings.port, max_body, max_header, read_timeout},
        [&](std::uint64_t connection, const http::request& request,
            const http::respond& respond)
        { backend.on_request(connection, request, respond); },
        [&](std::uint64_t connection)
        {
            asio::post(
                context,
                [&backend, connection] { backend.on_closed(connection); });
        });
    if (!opened)
    {
        context.stop();
        return opened.error();
    }
    worker.join();
    return 0;
}
} // namespace

int main(int argc, const char** argv)
{
    return base::handle(
        [&] { return run(argc, argv); },
        [](const base::error& failure)
        {
            std::cerr << "standin-backend: " << failure.text() << '\n';
            return app::exit_usage;
        });
}
