#include "apps/command_line.hpp"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <popt.h>

namespace bilberrytally::app
{
namespace
{
//! Values by which poptGetNextOpt() reports the options; they must be above 0.
constexpr int version_code = 1;
constexpr int first_option_code = 2;

struct context_deleter
{
    void operator()(poptContext context) const
    {
        poptFreeContext(context);
    }
};

} // namespace

base::result<command_line> command_line::parse(
    int argc, const char** argv, const std::vector<option>& options,
    const std::string& arguments_help)
{
    std::vector<poptOption> table;
    int code = first_option_code;
    for (const auto& item : options)
    {
        const bool flag = item.value_name.empty();
        table.push_back(
            {item.name.c_str(), item.letter,
             static_cast<unsigned>(flag ? POPT_ARG_NONE : POPT_ARG_STRING),
             nullptr, code++, item.help.c_str(),
             flag ? nullptr : item.value_name.c_str()});
    }
    table.push_back(
        {"version", 'V', POPT_ARG_NONE, nullptr, version_code,
         "Print the version", nullptr});
    poptOption help[] = {POPT_AUTOHELP POPT_TABLEEND};
    table.push_back(help[0]);
    table.push_back(help[1]);

    const std::unique_ptr<poptContext_s, context_deleter> context(
        poptGetContext(nullptr, argc, argv, table.data(), 0));
    poptSetOtherOptionHelp(context.get(), arguments_help.c_str());
    command_line line;
    int found = poptGetNextOpt(context.get());
    for (; found >= 0; found = poptGetNextOpt(context.get()))
    {
        if (found == version_code)
        {
            std::cout << "bilberrytally " << BILBERRYTALLY_VERSION << '\n';
            std::exit(0);
        }
        const auto& item =
            options[static_cast<std::size_t>(found - first_option_code)];
        const std::unique_ptr<char, decltype(&std::free)> value(
            poptGetOptArg(context.get()), &std::free);
        line.options.push_back({item.name, value ? value.get() : ""});
    }
    if (found < -1)
    {
        return base::fail(
            poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
            poptStrerror(found));
    }
    for (const char** argument = poptGetArgs(context.get());
         argument != nullptr && *argument != nullptr; ++argument)
    {
        line.positional.emplace_back(*argument);
    }
    return line;
}

bool command_line::has(const std::string& name) const
{
    return std::any_of(
        this->options.begin(), this->options.end(),
        [&](const given_option& item) { return item.name == name; });
}

std::string
command_line::value(const std::string& name, const std::string& fallback) const
{
    const auto found = std::find_if(
        this->options.begin(), this->options.end(),
        [&](const given_option& item) { return item.name == name; });
    return found == this->options.end() ? fallback : found->value;
}

const std::vector<std::string>& command_line::arguments() const
{
    return this->positional;
}

} // namespace bilberrytally::app
