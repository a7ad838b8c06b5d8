#include "apps/command_line.hpp"
#include "apps/structured_log.hpp"
#include "node/node.hpp"
#include "platform/adapter.hpp"
#include "schema/settings.hpp"

#include <csignal>
#include <iostream>
#include <malloc.h>

namespace
{
using namespace bilberrytally;

constexpr const char* usage = R"(--settings FILE

Signals: SIGTERM and SIGINT begin a planned stop, which finishes the calls in flight; once it has begun, they change
nothing. SIGQUIT aborts these calls and ends the node at once. SIGHUP reloads the settings.)";

//! Buffers from this size on are returned to the system when they are freed.
constexpr int returned_buffer_bytes = 256 << 10;
//! Free memory at the end of the heap that is kept.
constexpr int kept_heap_bytes = 512 << 10;

//! Keeps the peak of memory near what is in use: by default the allocator keeps
//! ever larger buffers once it has seen one.
void return_large_buffers()
{
    mallopt(M_MMAP_THRESHOLD, returned_buffer_bytes);
    mallopt(M_TRIM_THRESHOLD, kept_heap_bytes);
}

base::result<int> run(int argc, const char** argv)
{
    BOOST_LEAF_AUTO(
        line,
        app::command_line::parse(
            argc, argv,
            {{"settings", 's', "Settings file (INI)", "FILE"},
             {"check-settings", 'c', "Validate the settings and exit", ""}},
            usage));
    if (!line.has("settings") || !line.arguments().empty())
    {
        return base::fail("command line", "expected --settings FILE");
    }
    BOOST_LEAF_AUTO(
        settings, schema::read_node_settings(line.value("settings")));
    if (line.has("check-settings"))
    {
        std::cout << line.value("settings") << ": valid\n";
        return 0;
    }
    return_large_buffers();
    const app::structured_log log(
        argv[0], settings.log.level, settings.log.flush_s);
    BOOST_LEAF_AUTO(
        node,
        node::node::start(
            settings, line.value("settings"), users_platform::make_adapter()));
    LOG(INFO) << "event=started instance=" << settings.node.instance;
    return node->run();
}
} // namespace

int main(int argc, const char** argv)
{
    // A reload that is requested before the settings are read needs nothing
    // more, but would end the process by default.
    std::signal(SIGHUP, SIG_IGN);
    return base::handle(
        [&] { return run(argc, argv); },
        [](const base::error& failure)
        {
            std::cerr << "bilberrytally-node: " << failure.text() << '\n';
            return app::exit_usage;
        });
}
