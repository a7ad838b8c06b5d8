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

constexpr std::uint64_t max_body_bytes = 64U << 20U;
constexpr std::uint64_t max_header_bytes = 64U << 10U;
constexpr base::duration_ms read_timeout{600000};

//! Value of a numeric option, or \p fallback if the option is not given.
std::uint32_t number_option(
    const app::command_line& line, const std::string& name, unsigned fallback)
{
    return static_cast<std::uint32_t>(
        std::stoul(line.value(name, std::to_string(fallback))));
}

base::result<int> run(int argc, const char** argv)
{
    BOOST_LEAF_AUTO(
        line, app::command_line::parse(
                  argc, argv,
                  {{"instance", 'i', "Instance id", "ID"},
                   {"port", 'p', "HTTP port to listen on", "PORT"},
                   {"node-port", 'n', "Caller port of the local node", "PORT"},
                   {"slots", 's', "Requests run concurrently", "N"},
                   {"queue", 'q', "Longest queue of waiting requests", "N"},
                   {"record", 'r', "File that records the executions", "FILE"}},
                  ""));
    standins::backend_settings settings;
    settings.instance = line.value("instance");
    settings.port = number_option(line, "port", 0);
    settings.node_port = number_option(line, "node-port", 0);
    settings.slots = number_option(line, "slots", settings.slots);
    settings.queue = number_option(line, "queue", settings.queue);
    settings.record_path = line.value("record");

    asio::io_context context;
    const auto work = asio::make_work_guard(context);
    standins::backend_standin backend(context, settings);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](std::error_code, int) { context.stop(); });
    std::jthread worker([&] { context.run(); });
    auto opened = http::http_server::open(
        context,
        {settings.host, settings.port, max_body_bytes, max_header_bytes,
         read_timeout},
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
