#include "apps/command_line.hpp"
#include "standins/load_generator.hpp"

#include <asio/executor_work_guard.hpp>

#include <iostream>

namespace
{
using namespace bilberrytally;

base::result<int> run(int argc, const char** argv)
{
    BOOST_LEAF_AUTO(
        line, app::command_line::parse(argc, argv, {}, "PLAN.json"));
    if (line.arguments().size() != 1)
    {
        return base::fail("command line", "expected one plan file");
    }
    BOOST_LEAF_AUTO(plan, standins::load_plan::read(line.arguments().front()));
    asio::io_context context;
    auto work = asio::make_work_guard(context);
    standins::load_generator generator(context, std::move(plan));
    generator.start(
        [&]
        {
            work.reset();
            context.stop();
        });
    context.run();
    std::cout << generator.summary().dump() << '\n';
    return 0;
}
} // namespace

int main(int argc, const char** argv)
{
    return base::handle(
        [&] { return run(argc, argv); },
        [](const base::error& failure)
        {
            std::cerr << "standin-caller: " << failure.text() << '\n';
            return app::exit_usage;
        });
}
