// Purpose: event: the process was told to stop.
#ifndef FESCUEVANE_ENTRY_STOP_WANTED_HPP
#define FESCUEVANE_ENTRY_STOP_WANTED_HPP

namespace fescuevane::entry
{

struct stop_wanted
{
    friend bool operator==(stop_wanted const&, stop_wanted const&) = default;
};

} // namespace fescuevane::entry

#endif
