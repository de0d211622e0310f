#include <functional>
#include <iostream>
#include <map>
#include <string>

#include <cxxopts.hpp>

#include "operate/commands.h"
#include "operate/exitcode.h"

namespace
{

using namespace cowsliphead;

const std::map<std::string, std::function<int(int, char **)>> &commandTable()
{
    static const std::map<std::string, std::function<int(int, char **)>> table{
        { "gateway", commands::gateway },       { "explain", commands::explain }, { "serve", commands::serve },
        { "config", commands::config },         { "record", commands::record },   { "key", commands::key },
        { "status", commands::status },         { "standin", commands::standin }, { "bench", commands::bench },
        { "experiment", commands::experiment },
    };
    return table;
}

void printUsage(std::ostream &out)
{
    out << "usage: cowsliphead COMMAND [OPTIONS]\n\ncommands:\n";
    for (const auto &[name, command] : commandTable()) {
        out << "  " << name << "\n";
    }
    out << "\n`cowsliphead COMMAND --help` shows a command's options and exit codes.\n";
}

} // namespace

int main(int argc, char **argv)
{
    const std::string name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "-h") {
        printUsage(std::cout);
        return exitcode::Success;
    }
    const auto command = commandTable().find(name);
    if (command == commandTable().end()) {
        printUsage(std::cerr);
        return exitcode::WrongInput;
    }
    try {
        return command->second(argc - 1, argv + 1);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "cowsliphead " << name << ": " << error.what() << "\n";
        return exitcode::WrongInput;
    }
}
