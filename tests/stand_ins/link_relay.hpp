// Purpose: relays TCP links and applies cuts and delays to groups of them.
#ifndef FESCUEVANE_TESTS_STAND_INS_LINK_RELAY_HPP
#define FESCUEVANE_TESTS_STAND_INS_LINK_RELAY_HPP

#include "tests/stand_ins/group_table.hpp"
#include "tests/stand_ins/link.hpp"
#include "tests/stand_ins/relay_connection.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::stand_ins
{

class link_relay
{
public:
    // Throws std::runtime_error when it can't listen.
    link_relay(std::vector<link> const& links, std::string const& control);
    link_relay(link_relay const&) = delete;
    link_relay& operator=(link_relay const&) = delete;
    ~link_relay();

    // One line of the control protocol, see README.md; returns the answer.
    std::string run_command(std::string const& line);

    // Called by GLib
    void accept_link(std::size_t link, GSocketConnection* connection);
    void accept_control(GSocketConnection* connection);

private:
    using waiting_connection = std::pair<std::size_t, GSocketConnection*>;

    void forward(std::size_t link, GSocketConnection* connection);
    void add_connection(std::size_t link, GSocketConnection* near,
                        GSocketConnection* far);
    void update_group(std::size_t group);
    void reset_group(std::size_t group);

    std::vector<link> const         links_;
    std::vector<std::size_t>        link_group_; // row of the group, per link
    group_table                     groups_;
    std::vector<GSocketService*>    services_;
    std::vector<waiting_connection> waiting_; // accepted while cut
    std::uint64_t                   last_connection_ = 0;
    std::map<std::uint64_t, std::unique_ptr<relay_connection>> connections_;
};

} // namespace fescuevane::stand_ins

#endif
