// Purpose: passes a connection on to the gRPC library, up to a message that is
// too large.
#ifndef FESCUEVANE_IO_GUARDED_CONNECTION_HPP
#define FESCUEVANE_IO_GUARDED_CONNECTION_HPP

#include "io/message_guard.hpp"

#include <glib.h>
#include <array>
#include <functional>
#include <memory>
#include <string_view>

namespace fescuevane::io
{

// Runs in the main loop. Each direction reads again only once what it read
// before is written, so that a slow reader slows its sender down.
class guarded_connection
{
public:
    // Owns both descriptors: of the client, and of a socket whose other end the
    // library has. `ended` is called once, later, when either side ends or a
    // message is refused (true); the owner then destroys this.
    guarded_connection(int client, int library, std::size_t max_message_bytes,
                       std::function<void(bool)> ended);
    ~guarded_connection();
    guarded_connection(guarded_connection const&) = delete;
    guarded_connection& operator=(guarded_connection const&) = delete;

private:
    static constexpr std::size_t block_bytes = 16'384;

    struct direction
    {
        guarded_connection&           own_;
        int const                     from_;
        int const                     to_;
        bool const                    guarded_;
        GSource*                      source_ = nullptr;
        std::array<char, block_bytes> block_{};
        std::string_view              unsent_; // part of `block_`
    };

    static gboolean on_ready(int descriptor, GIOCondition condition,
                             void* data);
    static void     wait(direction& way);
    bool            move(direction& way); // false: the connection has ended
    void            end(bool refused);

    message_guard             guard_;
    std::function<void(bool)> ended_;
    direction                 incoming_;
    direction                 outgoing_;
};

} // namespace fescuevane::io

#endif
