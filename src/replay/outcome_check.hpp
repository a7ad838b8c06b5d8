#pragma once

#include "replay/replayer.hpp"
#include "replay/trace.hpp"

#include <string>
#include <vector>

namespace bilberrytally::replay
{
//! Describes the expected outcomes of a trace that the measured figures miss,
//! one line each; an outcome whose figure does not exist counts as missed.
std::vector<std::string>
missed_outcomes(const trace& recorded, const figures& measured);
} // namespace bilberrytally::replay
