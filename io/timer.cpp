// Purpose: one timer of the main loop that is armed again and again.
#include "io/timer.hpp"

#include <glib.h>
#include <utility>

namespace fescuevane::io
{
namespace
{

gboolean dispatch(GSource* source, GSourceFunc callback, void* data)
{
    g_source_set_ready_time(source, -1);
    return callback(data);
}

GSourceFuncs functions = {nullptr, nullptr, &dispatch,
                          nullptr, nullptr, nullptr};

gboolean call_due(void* due)
{
    (*static_cast<std::function<void()>*>(due))();
    return G_SOURCE_CONTINUE;
}

} // namespace

timer::timer(std::function<void()> due)
    : due_(std::move(due)), source_(g_source_new(&functions, sizeof(GSource)))
{
    g_source_set_callback(source_, &call_due, &due_, nullptr);
    g_source_attach(source_, nullptr);
}

timer::~timer()
{
    g_source_destroy(source_);
    g_source_unref(source_);
}

void timer::arm(instant deadline)
{
    g_source_set_ready_time(
        source_, deadline == instant::never() ? -1 : deadline.micros());
}

} // namespace fescuevane::io
