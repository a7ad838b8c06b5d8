#pragma once

#include "base/error.hpp"

#include <string>
#include <vector>

//! Parts shared by the programs' main functions.
namespace bilberrytally::app
{
//! Exit code for wrong command lines, settings and input files.
constexpr int exit_usage = 2;

//! One option of a program.
struct option
{
    std::string name;
    char letter;
    std::string help;
    //! Name of the value in the help text; empty for a flag.
    std::string value_name;
};

//! Options and arguments as given.
class command_line
{
public:
    //! Parses with popt. Adds --help and --version; where those are given,
    //! prints and exits.
    static base::result<command_line> parse(
        int argc, const char** argv, const std::vector<option>& options,
        const std::string& arguments_help);

    bool has(const std::string& name) const;
    //! Value of an option, or \p fallback.
    std::string
    value(const std::string& name, const std::string& fallback = {}) const;
    const std::vector<std::string>& arguments() const;

private:
    struct given
    {
        std::string name;
        std::string value;
    };

    std::vector<given> options;
    std::vector<std::string> rest;
};
} // namespace bilberrytally::app
