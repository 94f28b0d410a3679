// Purpose: the platform stand-in process.
#include "tests/stand_ins/clock.hpp"
#include "tests/stand_ins/hosts_file.hpp"
#include "tests/stand_ins/hosts_service.hpp"
#include "tests/stand_ins/objects_service.hpp"
#include "tests/stand_ins/platform_control_service.hpp"
#include "tests/stand_ins/process.hpp"
#include "tests/stand_ins/shared_platform.hpp"
#include "tests/stand_ins/tables_service.hpp"

#include <CLI/CLI.hpp>
#include <grpcpp/server.h>

#include <exception>
#include <iostream>
#include <string>

namespace fescuevane::stand_ins
{
namespace
{

struct platform_options
{
    std::string   listen_ = "127.0.0.1:7000";
    std::string   hosts_;
    std::uint32_t host_lag_millis_ = 0;
};

void load_hosts(platform_context& context, platform_options const& options)
{
    if (!options.hosts_.empty())
    {
        for (host const& each : read_hosts_file(options.hosts_))
        {
            put_host(context.hosts_, read_clock(), each);
        }
    }
    context.hosts_.lag_micros_ = options.host_lag_millis_ * micros_per_milli;
}

void serve(platform_options const& options)
{
    block_stop_signals();
    shared_platform shared;
    load_hosts(shared.context_, options);
    tables_service           tables(shared);
    objects_service          objects(shared);
    hosts_service            hosts(shared);
    platform_control_service control(shared);
    auto const               server =
        start_server(options.listen_, {&tables, &objects, &hosts, &control});
    std::cout << "listening on " << options.listen_ << std::endl;
    wait_for_stop();
    stop_server(*server);
}

} // namespace
} // namespace fescuevane::stand_ins

int main(int argc, char** argv)
{
    fescuevane::stand_ins::platform_options options;
    CLI::App app{"Serves the platform's tables, objects and host list."};
    app.add_option("--listen", options.listen_, "IP:PORT")
        ->capture_default_str();
    app.add_option("--hosts", options.hosts_, "YAML file of the host list");
    app.add_option("--host-lag-ms", options.host_lag_millis_,
                   "Delay of changes of the host list");
    CLI11_PARSE(app, argc, argv);
    try
    {
        fescuevane::stand_ins::serve(options);
    }
    catch (std::exception const& error)
    {
        std::cerr << "platform_stand_in: " << error.what() << std::endl;
        return 1;
    }
    return 0;
}
