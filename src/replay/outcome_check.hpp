#pragma once

#include "replay/replayer.hpp"
#include "replay/trace.hpp"

#include <string>
#include <vector>

namespace bilberrytally::replay
{
//! Stated outcomes that the figures miss, one line each; a figure that does
//! not exist is missed too.
std::vector<std::string>
missed_outcomes(const trace& recorded, const figures& measured);
} // namespace bilberrytally::replay
