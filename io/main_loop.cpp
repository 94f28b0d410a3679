// Purpose: the main loop's clock, and work handed to it by other threads.
#include "io/main_loop.hpp"

#include <glib.h>
#include <utility>

namespace fescuevane::io
{

instant read_clock()
{
    return instant(g_get_monotonic_time());
}

std::int64_t read_unix_ms()
{
    return g_get_real_time() / micros_per_milli;
}

namespace
{

gboolean run_work(void* work)
{
    (*static_cast<std::function<void()>*>(work))();
    return G_SOURCE_REMOVE;
}

void free_work(void* work)
{
    delete static_cast<std::function<void()>*>(work);
}

} // namespace

void run_in_main_loop(std::function<void()> work)
{
    // Always queued, also from the main thread: callbacks never nest.
    GSource* const source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT);
    g_source_set_callback(source, &run_work,
                          new std::function<void()>(std::move(work)),
                          &free_work);
    g_source_attach(source, nullptr);
    g_source_unref(source);
}

} // namespace fescuevane::io
