#include "apps/command_line.hpp"
#include "replay/outcome_check.hpp"

#include <iostream>

namespace
{
using namespace bilberrytally;

//! Exit code if an expected outcome of a trace is missed.
constexpr int exit_missed = 1;

base::result<int> run(int argc, const char** argv)
{
    BOOST_LEAF_AUTO(
        line, app::command_line::parse(
                  argc, argv,
                  {{"variant", 'p',
                    "Policy variant: full, pass_through or fixed_fifo", "NAME"},
                   {"seed", 's', "Seed of the random numbers", "N"},
                   {"figures", 'f', "Print all measured figures", ""}},
                  "TRACE..."));
    if (line.arguments().empty())
    {
        return base::fail("command line", "expected trace files");
    }
    const auto variant =
        decisions::make_policy_variant(line.value("variant", "full"));
    const auto seed = std::stoull(line.value("seed", "1"));
    int code = 0;
    for (const auto& file : line.arguments())
    {
        BOOST_LEAF_AUTO(recorded, replay::trace::read(file));
        const auto measured = replay::replay_trace(recorded, variant, seed);
        const auto misses = replay::missed_outcomes(recorded, measured);
        std::cout << (misses.empty() ? "met" : "MISSED") << ' ' << recorded.name
                  << '\n';
        for (const auto& text : misses)
        {
            std::cout << "  " << text << '\n';
        }
        for (const auto& [name, value] : measured)
        {
            if (line.has("figures"))
            {
                std::cout << "  " << name << '=' << value << '\n';
            }
        }
        code = misses.empty() ? code : exit_missed;
    }
    return code;
}
} // namespace

int main(int argc, const char** argv)
{
    return base::handle(
        [&] { return run(argc, argv); },
        [](const base::error& failure)
        {
            std::cerr << "bilberrytally-replay: " << failure.text() << '\n';
            return app::exit_usage;
        });
}
