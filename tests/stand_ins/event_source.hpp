// Purpose: owns a GLib event source and the function it calls.
#ifndef FESCUEVANE_TESTS_STAND_INS_EVENT_SOURCE_HPP
#define FESCUEVANE_TESTS_STAND_INS_EVENT_SOURCE_HPP

#include <gio/gio.h>

#include <functional>

namespace fescuevane::stand_ins
{

// Calls `run` in the default main context each time the source is ready, until
// it is reset. `run` may destroy the event_source.
class event_source
{
public:
    event_source() = default;
    event_source(event_source const&) = delete;
    event_source& operator=(event_source const&) = delete;
    ~event_source() { reset(); }

    void watch_socket(GSocket* socket, GIOCondition condition,
                      std::function<void()> run);
    void watch_file(int file, std::function<void()> run); // readable
    void reset();
    bool is_active() const { return source_ != nullptr; }

private:
    GSource* source_ = nullptr;
};

} // namespace fescuevane::stand_ins

#endif
