// Purpose: reads the links file of the relay.
#include "tests/stand_ins/links_file.hpp"

#include <yaml-cpp/yaml.h>

#include <stdexcept>

namespace fescuevane::stand_ins
{

std::vector<link> read_links_file(std::string const& path)
{
    try
    {
        std::vector<link> links;
        for (YAML::Node const& node : YAML::LoadFile(path)["links"])
        {
            links.push_back({.name_ = node["name"].as<std::string>(),
                             .listen_ = node["listen"].as<std::string>(),
                             .forward_ = node["forward"].as<std::string>(),
                             .group_ = node["group"].as<std::string>(),
                             .source_ = node["source"].as<std::string>("")});
        }
        return links;
    }
    catch (YAML::Exception const& error)
    {
        throw std::runtime_error(path + ": " + error.what());
    }
}

} // namespace fescuevane::stand_ins
