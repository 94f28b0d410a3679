// Purpose: what a command works with.
#ifndef FESCUEVANE_CTL_CONTEXT_HPP
#define FESCUEVANE_CTL_CONTEXT_HPP

#include <cstdint>
#include <iosfwd>

namespace fescuevane::ctl
{

class http_client;
struct options;
struct printer;

struct context
{
    options const& options_;
    http_client&   client_;
    printer const& printer_;
    std::ostream&  output_;
    std::ostream&  errors_;   // progress and messages
    std::int64_t   deadline_; // of the command, on GLib's monotonic clock, us
};

} // namespace fescuevane::ctl

#endif
