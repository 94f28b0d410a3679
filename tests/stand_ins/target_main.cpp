// Purpose: the target stand-in process, which serves many targets.
#include "tests/stand_ins/hosts_file.hpp"
#include "tests/stand_ins/process.hpp"
#include "tests/stand_ins/target_control_service.hpp"
#include "tests/stand_ins/target_runtime.hpp"
#include "tests/stand_ins/target_service.hpp"

#include <CLI/CLI.hpp>
#include <grpcpp/server.h>

#include <exception>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace fescuevane::stand_ins
{
namespace
{

struct target_options
{
    std::string  hosts_;
    std::string  failure_domain_;
    std::string  rack_;
    std::string  control_ = "127.0.0.1:7100";
    std::string  history_;
    std::int64_t usage_lag_millis_ = 1000;
};

std::vector<host> select_hosts(target_options const& options)
{
    std::vector<host> selected;
    for (host const& each : read_hosts_file(options.hosts_))
    {
        bool const in_domain = options.failure_domain_.empty() ||
                               each.domain_.str() == options.failure_domain_;
        if (in_domain &&
            (options.rack_.empty() || each.rack_.str() == options.rack_))
        {
            selected.push_back(each);
        }
    }
    if (selected.empty())
    {
        throw std::runtime_error("no host of the file is selected");
    }
    return selected;
}

void serve(target_options const& options)
{
    block_stop_signals();
    std::vector<host> const hosts = select_hosts(options);
    target_runtime runtime(hosts, options.usage_lag_millis_ * micros_per_milli,
                           options.history_);
    target_control_service                       control(runtime);
    std::vector<std::unique_ptr<target_service>> services;
    std::vector<std::unique_ptr<grpc::Server>>   servers;
    for (std::size_t i = 0; i < hosts.size(); ++i)
    {
        services.push_back(std::make_unique<target_service>(runtime, i));
        servers.push_back(start_server(hosts[i].listen_, {services[i].get()}));
    }
    servers.push_back(start_server(options.control_, {&control}));
    std::cout << "serving " << hosts.size() << " targets, control on "
              << options.control_ << std::endl;
    wait_for_stop();
    for (auto const& server : servers)
    {
        stop_server(*server);
    }
}

} // namespace
} // namespace fescuevane::stand_ins

int main(int argc, char** argv)
{
    fescuevane::stand_ins::target_options options;
    CLI::App app{"Serves the targets of a hosts file, each on its own port."};
    app.add_option("--hosts", options.hosts_, "YAML file of the hosts")
        ->required();
    app.add_option("--failure-domain", options.failure_domain_,
                   "Serve only the hosts of this failure domain");
    app.add_option("--rack", options.rack_,
                   "Serve only the hosts of this rack");
    app.add_option("--control", options.control_, "IP:PORT of the control")
        ->capture_default_str();
    app.add_option("--history", options.history_,
                   "File to which the history is appended");
    app.add_option("--usage-lag-ms", options.usage_lag_millis_,
                   "Time between usage reports")
        ->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    try
    {
        fescuevane::stand_ins::serve(options);
    }
    catch (std::exception const& error)
    {
        std::cerr << "target_stand_in: " << error.what() << std::endl;
        return 1;
    }
    return 0;
}
