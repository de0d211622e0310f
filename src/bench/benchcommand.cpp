#include <functional>
#include <iostream>
#include <map>
#include <string>

#include "bench/benchcommands.h"
#include "operate/commands.h"
#include "operate/exitcode.h"

namespace cowsliphead::commands
{

int bench(int argc, char **argv)
{
    static const std::map<std::string, std::function<int(int, char **)>> table{
        { "load", benchcommands::load },   { "fill", benchcommands::fill },       { "spread", benchcommands::spread },
        { "usage", benchcommands::usage }, { "summary", benchcommands::summary },
    };
    const std::string name = argc > 1 ? argv[1] : "";
    const auto found = table.find(name);
    if (found != table.end()) {
        return found->second(argc - 1, argv + 1);
    }
    const bool isHelp = name == "--help" || name == "-h";
    auto &out = isHelp ? std::cout : std::cerr;
    out << "usage: cowsliphead bench fill|load|spread|summary|usage [OPTIONS]\nMeasures daemons on the loopback address. Exit codes: 0 done, 1 not done, "
           "2 wrong input.\n";
    return isHelp ? exitcode::Success : exitcode::WrongInput;
}

} // namespace cowsliphead::commands
