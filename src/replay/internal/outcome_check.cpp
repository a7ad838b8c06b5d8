#include "replay/outcome_check.hpp"

#include <sstream>

namespace bilberrytally::replay
{
std::vector<std::string>
missed_outcomes(const trace& recorded, const figures& measured)
{
    std::vector<std::string> missed;
    for (const auto& stated : recorded.outcomes)
    {
        const auto found = measured.find(stated.figure);
        std::ostringstream line;
        line << stated.figure;
        if (found == measured.end())
        {
            line << ": no such figure";
        }
        else if (found->second < stated.at_least)
        {
            line << " = " << found->second << ", stated at least "
                 << stated.at_least;
        }
        else if (found->second > stated.at_most)
        {
            line << " = " << found->second << ", stated at most "
                 << stated.at_most;
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
