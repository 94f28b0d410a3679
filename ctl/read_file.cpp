// Purpose: reading of files named on the command line.
#include "ctl/read_file.hpp"

#include "ctl/ctl_error.hpp"

#include <fstream>
#include <sstream>

namespace fescuevane::ctl
{

std::string read_file(std::string const& path)
{
    std::ifstream      input(path, std::ios::binary);
    std::ostringstream content;
    if (!input || !(content << input.rdbuf()))
    {
        throw ctl_error(exit_code::usage, "can't read " + path);
    }
    return content.str();
}

json read_json_file(std::string const& path)
{
    try
    {
        json value = json::parse(read_file(path));
        if (!value.is_object())
        {
            throw ctl_error(exit_code::usage, path + ": not a JSON object");
        }
        return value;
    }
    catch (json::parse_error const& error)
    {
        throw ctl_error(exit_code::usage, path + ": " + error.what());
    }
}

} // namespace fescuevane::ctl
