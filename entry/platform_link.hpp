// Purpose: calls to the platform: table rows and the host list.
#ifndef FESCUEVANE_ENTRY_PLATFORM_LINK_HPP
#define FESCUEVANE_ENTRY_PLATFORM_LINK_HPP

#include "platform.grpc.pb.h"

#include <cstdint>
#include <memory>
#include <string>

namespace fescuevane::state
{
struct commit_rows;
struct read_rows;
} // namespace fescuevane::state

namespace fescuevane::entry
{

class event_queue;

// Used from the main loop only; replies are pushed as events.
class platform_link
{
public:
    // Calls without a reply end after `timeout_micros`.
    platform_link(std::string const& address, std::int64_t timeout_micros,
                  std::shared_ptr<event_queue> events);

    void read(state::read_rows const& order);
    void commit(state::commit_rows const& order);
    void list_hosts();

private:
    std::int64_t const                                timeout_micros_;
    std::shared_ptr<event_queue> const                events_;
    std::unique_ptr<platform::v1::Tables::Stub> const tables_;
    std::unique_ptr<platform::v1::Hosts::Stub> const  hosts_;
};

} // namespace fescuevane::entry

#endif
