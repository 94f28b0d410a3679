// Purpose: an entry process: the node, its links and front end on one GLib main
// loop.
#ifndef FESCUEVANE_ENTRY_PROCESS_HPP
#define FESCUEVANE_ENTRY_PROCESS_HPP

#include "entry/command.hpp"
#include "entry/node.hpp"
#include "entry/settings.hpp"

#include <glib.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fescuevane::entry
{

class event_queue;
class http_front;
class peer_link;
class peer_service;
class platform_link;
class target_link;
class span_tracer;
struct state_logger;

// Runs on the default main context. Links push events from their own threads;
// everything else happens in ticks of the node on the main loop.
class process
{
public:
    // Throws settings_error, link_error or front_error.
    explicit process(settings const& values);
    ~process();
    process(process const&) = delete;
    process& operator=(process const&) = delete;

    void run(); // until a graceful stop, asked for by SIGTERM or SIGINT

private:
    struct tick_source;

    void tick();
    void arm_tick();
    void carry_out(command const& order);

    static gboolean on_tick(GSource* source, GSourceFunc, gpointer);
    static gboolean on_stop(gpointer self);
    static gboolean on_host_list(gpointer self);

    settings const settings_;
    node_ptr       node_;
    GSource*       tick_source_ = nullptr;
    GMainLoop*     loop_ = nullptr;
    // Before the front end, whose open spans end in the tracer.
    std::unique_ptr<state_logger>  log_;
    std::unique_ptr<span_tracer>   traces_;
    std::shared_ptr<event_queue>   events_;
    std::unique_ptr<platform_link> platform_;
    std::unique_ptr<peer_link>     peers_;
    std::unique_ptr<target_link>   targets_;
    std::unique_ptr<peer_service>  service_;
    std::unique_ptr<http_front>    front_;
    std::vector<command>           commands_;
};

} // namespace fescuevane::entry

#endif
