// Purpose: one relayed connection.
#ifndef FESCUEVANE_TESTS_STAND_INS_RELAY_CONNECTION_HPP
#define FESCUEVANE_TESTS_STAND_INS_RELAY_CONNECTION_HPP

#include "tests/stand_ins/relay_pipe.hpp"

#include <functional>
#include <memory>

namespace fescuevane::stand_ins
{

// Takes its own references to both sockets; closes them at the end. `closed`
// is called when both directions are over or one has failed; the call has to
// destroy the connection.
class relay_connection
{
public:
    relay_connection(GSocketConnection* near, GSocketConnection* far,
                     group_table const& groups, std::size_t group,
                     std::function<void()> closed);
    relay_connection(relay_connection const&) = delete;
    relay_connection& operator=(relay_connection const&) = delete;
    ~relay_connection();

    std::size_t group() const { return group_; }
    void        update(); // after a change of the group

private:
    void end_pipe(bool failed);

    GSocketConnection* const    near_;
    GSocketConnection* const    far_;
    std::size_t const           group_;
    std::function<void()> const closed_;
    int                         open_pipes_ = 2;
    std::unique_ptr<relay_pipe> outward_;
    std::unique_ptr<relay_pipe> inward_;
};

} // namespace fescuevane::stand_ins

#endif
