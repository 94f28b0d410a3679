// Purpose: owns a GLib event source and the function it calls.
#include "tests/stand_ins/event_source.hpp"

#include <glib-unix.h>

#include <utility>

namespace fescuevane::stand_ins
{
namespace
{

using run_function = std::function<void()>;

gboolean run_socket(GSocket* /*socket*/, GIOCondition /*ready*/, gpointer data)
{
    // A copy, because the call may destroy the source and its data.
    run_function const run = *static_cast<run_function*>(data);
    run();
    return G_SOURCE_CONTINUE;
}

gboolean run_file(gint /*file*/, GIOCondition /*ready*/, gpointer data)
{
    run_function const run = *static_cast<run_function*>(data);
    run();
    return G_SOURCE_CONTINUE;
}

void free_function(gpointer data)
{
    delete static_cast<run_function*>(data);
}

} // namespace

void event_source::watch_socket(GSocket* socket, GIOCondition condition,
                                std::function<void()> run)
{
    reset();
    source_ = g_socket_create_source(socket, condition, nullptr);
    g_source_set_callback(source_, G_SOURCE_FUNC(&run_socket),
                          new run_function(std::move(run)), &free_function);
    g_source_attach(source_, nullptr);
}

void event_source::watch_file(int file, std::function<void()> run)
{
    reset();
    source_ = g_unix_fd_source_new(file, G_IO_IN);
    g_source_set_callback(source_, G_SOURCE_FUNC(&run_file),
                          new run_function(std::move(run)), &free_function);
    g_source_attach(source_, nullptr);
}

void event_source::reset()
{
    if (source_ != nullptr)
    {
        g_source_destroy(source_);
        g_source_unref(source_);
        source_ = nullptr;
    }
}

} // namespace fescuevane::stand_ins
