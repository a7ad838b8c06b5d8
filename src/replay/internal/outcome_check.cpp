#include "replay/outcome_check.hpp"

#include <sstream>

namespace bilberrytally::replay
{
std::vector<std::string>
missed_outcomes(const trace& recorded, const figures& measured)
{
    std::vector<std::string> missed;
    for (const auto& expected : recorded.outcomes)
    {
        const auto found = measured.find(expected.figure);
        std::ostringstream line;
        line << expected.figure;
        if (found == measured.end())
        {
            line << ": figure does not exist";
        }
        else if (found->second < expected.at_least)
        {
            line << " = " << found->second << ", expected at least "
                 << expected.at_least;
        }
        else if (found->second > expected.at_most)
        {
            line << " = " << found->second << ", expected at most "
                 << expected.at_most;
        }
        else
        {
            continue;
        }
        missed.push_back(line.str());
    }
    return missed;
}
} // namespace bilberrytally::replay
