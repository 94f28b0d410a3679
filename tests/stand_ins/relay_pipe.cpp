// Purpose: one direction of a relayed connection.
#include "tests/stand_ins/relay_pipe.hpp"

#include "tests/stand_ins/clock.hpp"

#include <string>
#include <utility>

namespace fescuevane::stand_ins
{
namespace
{

constexpr std::size_t chunk_bytes = 64 * 1024;
// More is left to the kernel, so that a slow reader slows its writer.
constexpr std::size_t max_queued_bytes = 4 * 1024 * 1024;

bool is_would_block(GError* error)
{
    bool const result =
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
    g_error_free(error);
    return result;
}

} // namespace

relay_pipe::relay_pipe(GSocket* from, GSocket* to, group_table const& groups,
                       std::size_t group, std::uint8_t direction,
                       std::function<void(bool)> ended)
    : from_(from)
    , to_(to)
    , groups_(groups)
    , group_(group)
    , direction_(direction)
    , ended_(std::move(ended))
    , due_(
          [this]
          {
              write();
          })
{
    update();
}

void relay_pipe::update()
{
    if ((groups_.cut_[group_] & direction_) != 0)
    {
        readable_.reset();
        writable_.reset();
        due_.arm(instant::never());
        return;
    }
    watch_reading();
    due_.arm(queue_.next_due());
}

void relay_pipe::watch_reading()
{
    bool const wants = !at_end_ && queue_.size_bytes() < max_queued_bytes;
    if (!wants)
    {
        readable_.reset();
    }
    else if (!readable_.is_active())
    {
        readable_.watch_socket(from_, G_IO_IN,
                               [this]
                               {
                                   read();
                               });
    }
}

void relay_pipe::read()
{
    std::string  bytes(chunk_bytes, '\0');
    GError*      error = nullptr;
    gssize const count =
        g_socket_receive(from_, bytes.data(), bytes.size(), nullptr, &error);
    if (count < 0)
    {
        if (!is_would_block(error))
        {
            ended_(true);
        }
        return;
    }
    bytes.resize(static_cast<std::size_t>(count));
    at_end_ = count == 0;
    queue_.push(std::move(bytes), read_clock().after(groups_.delay_[group_]));
    watch_reading();
    if (!writable_.is_active())
    {
        due_.arm(queue_.next_due());
    }
}

void relay_pipe::write()
{
    writable_.reset();
    while (queue_.next_due() <= read_clock())
    {
        if (!write_front())
        {
            return;
        }
    }
    watch_reading();
    due_.arm(queue_.next_due());
}

bool relay_pipe::write_front()
{
    if (queue_.front().empty())
    {
        g_socket_shutdown(to_, FALSE, TRUE, nullptr);
        queue_.pop_front_bytes(0);
        ended_(false);
        return false;
    }
    GError*      error = nullptr;
    gssize const count = g_socket_send(to_, queue_.front().data(),
                                       queue_.front().size(), nullptr, &error);
    if (count >= 0)
    {
        queue_.pop_front_bytes(static_cast<std::size_t>(count));
        return true;
    }
    if (!is_would_block(error))
    {
        ended_(true);
        return false;
    }
    writable_.watch_socket(to_, G_IO_OUT,
                           [this]
                           {
                               write();
                           });
    return false;
}

} // namespace fescuevane::stand_ins
