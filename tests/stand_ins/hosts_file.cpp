// Purpose: reads the hosts file of the stand-ins.
#include "tests/stand_ins/hosts_file.hpp"

#include <yaml-cpp/yaml.h>

#include <stdexcept>

namespace fescuevane::stand_ins
{
namespace
{

host read_host(YAML::Node const& node)
{
    auto const address = node["address"].as<std::string>();
    return {.target_ = target_id(node["target"].as<std::string>()),
            .address_ = address,
            .listen_ = node["listen"].as<std::string>(address),
            .domain_ = domain_id(node["failure_domain"].as<std::string>()),
            .rack_ = rack_id(node["rack"].as<std::string>()),
            .capacity_ = {node["cpu_millis"].as<std::int64_t>(),
                          node["memory_mib"].as<std::int64_t>(),
                          node["accelerators"].as<std::int64_t>(0)},
            .slots_ = node["slots"].as<std::uint32_t>(),
            .leaving_ = node["leaving"].as<bool>(false)};
}

} // namespace

std::vector<host> read_hosts_file(std::string const& path)
{
    try
    {
        std::vector<host> hosts;
        for (YAML::Node const& node : YAML::LoadFile(path)["hosts"])
        {
            hosts.push_back(read_host(node));
        }
        return hosts;
    }
    catch (YAML::Exception const& error)
    {
        throw std::runtime_error(path + ": " + error.what());
    }
}

} // namespace fescuevane::stand_ins
