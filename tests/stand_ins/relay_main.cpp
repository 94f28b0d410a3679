// Purpose: the link relay process.
#include "tests/stand_ins/link_relay.hpp"
#include "tests/stand_ins/links_file.hpp"

#include <CLI/CLI.hpp>
#include <glib-unix.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <string>

namespace fescuevane::stand_ins
{
namespace
{

struct relay_options
{
    std::string links_;
    std::string control_ = "127.0.0.1:7200";
};

gboolean stop_loop(gpointer loop)
{
    g_main_loop_quit(static_cast<GMainLoop*>(loop));
    return G_SOURCE_CONTINUE;
}

void serve(relay_options const& options)
{
    link_relay const relay(read_links_file(options.links_), options.control_);
    GMainLoop* const loop = g_main_loop_new(nullptr, FALSE);
    g_unix_signal_add(SIGTERM, &stop_loop, loop);
    g_unix_signal_add(SIGINT, &stop_loop, loop);
    std::cout << "relaying, control on " << options.control_ << std::endl;
    g_main_loop_run(loop);
    g_main_loop_unref(loop);
}

} // namespace
} // namespace fescuevane::stand_ins

int main(int argc, char** argv)
{
    fescuevane::stand_ins::relay_options options;
    CLI::App app{"Relays TCP links, which can be cut and delayed."};
    app.add_option("--links", options.links_, "YAML file of the links")
        ->required();
    app.add_option("--control", options.control_, "IP:PORT of the control")
        ->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    try
    {
        fescuevane::stand_ins::serve(options);
    }
    catch (std::exception const& error)
    {
        std::cerr << "link_relay: " << error.what() << std::endl;
        return 1;
    }
    return 0;
}
