#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bilberrytally::app
{
//! Writes lines to a descriptor and never waits for its reader: what the reader
//! does not take in time is dropped and counted.
class log_output
{
public:
    explicit log_output(int descriptor);

    //! Adds a line, to be written by a later flush().
    void add(std::string_view line);
    //! Writes what the descriptor takes at once.
    void flush();

private:
    int descriptor;
    std::string pending;
    std::uint64_t dropped{0};
};
} // namespace bilberrytally::app
