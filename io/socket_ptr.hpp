// Purpose: ownership of sockets and sources of GLib.
#ifndef FESCUEVANE_IO_SOCKET_PTR_HPP
#define FESCUEVANE_IO_SOCKET_PTR_HPP

#include <gio/gio.h>
#include <memory>

namespace fescuevane::io
{

struct glib_deleter
{
    void operator()(GSocket* socket) const { g_object_unref(socket); }
    void operator()(GSource* source) const
    {
        g_source_destroy(source);
        g_source_unref(source);
    }
};

using socket_ptr = std::unique_ptr<GSocket, glib_deleter>;
using watch_ptr = std::unique_ptr<GSource, glib_deleter>;

} // namespace fescuevane::io

#endif
