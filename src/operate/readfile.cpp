#include "operate/readfile.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace cowsliphead
{

Result<std::string> readFile(const std::string &name)
{
    if (name == "-") {
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    }
    std::ifstream file(name);
    if (!file) {
        return tl::unexpected(std::make_error_code(std::errc::no_such_file_or_directory));
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace cowsliphead
