#pragma once

#include "base/error.hpp"

#include <string>
#include <vector>

//! Command line and log of the programs.
namespace bilberrytally::app
{
//! Exit code for invalid command lines, settings and input files.
constexpr int exit_usage = 2;

//! A command-line option of a program.
struct option
{
    //! Long name, without the leading dashes.
    std::string name;
    //! Short name.
    char letter;
    std::string help;
    //! Placeholder of the value in the help text; empty for an option without a
    //! value.
    std::string value_name;
};

//! A parsed command line: the given options and the positional arguments.
class command_line
{
public:
    //! Parses the command line. Adds --help and --version, which print their
    //! text and end the process with exit code 0. An unknown option or a
    //! missing value is an error. \p arguments_help describes the positional
    //! arguments in the help text.
    static base::result<command_line> parse(
        int argc, const char** argv, const std::vector<option>& options,
        const std::string& arguments_help);

    //! True if the option is given.
    bool has(const std::string& name) const;
    //! Value of an option, or \p fallback if the option is not given.
    std::string
    value(const std::string& name, const std::string& fallback = {}) const;
    //! Positional arguments.
    const std::vector<std::string>& arguments() const;

private:
    struct given_option
    {
        std::string name;
        std::string value;
    };

    std::vector<given_option> options;
    std::vector<std::string> positional;
};
} // namespace bilberrytally::app
