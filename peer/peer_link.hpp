// Purpose: gRPC between the hosts of a cell, both ways.
#ifndef FESCUEVANE_PEER_PEER_LINK_HPP
#define FESCUEVANE_PEER_PEER_LINK_HPP

#include "core/instant.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace fescuevane::cell
{
struct advice_reply;
struct heartbeat;
struct job_answer;
struct job_call;
struct send_question;
} // namespace fescuevane::cell

namespace fescuevane::io
{
struct peer_limits;
} // namespace fescuevane::io

namespace fescuevane::peer
{

// What the link tells its process; called in the main loop.
struct peer_handlers
{
    std::function<void(cell::heartbeat const&)> beat_; // call or reply
    std::function<cell::heartbeat()>            answer_beat_;
    std::function<void(std::uint64_t, cell::job_call const&)>      called_;
    std::function<void(std::uint64_t, cell::job_answer const&)>    replied_;
    std::function<void(std::uint64_t, cell::send_question const&)> asked_;
    std::function<void(cell::advice_reply const&)>                 advised_;
    std::function<void()> dropped_; // a connection, to make place for another
};

// One thread waits for the library's completions and hands them to the main
// loop. Throws `peer_error` when the address can't be listened on.
class peer_link
{
public:
    peer_link(std::string const& address, io::peer_limits const& limits,
              peer_handlers handlers);
    ~peer_link();
    peer_link(peer_link const&) = delete;
    peer_link& operator=(peer_link const&) = delete;

    void beat(std::string const& address, cell::heartbeat const& beat,
              instant deadline);
    void call(std::uint64_t request, std::string const& address,
              cell::job_call const& call);
    void reply(std::uint64_t call, cell::job_answer const& answer);
    void ask(cell::send_question const& question);
    void advise(std::uint64_t call, cell::advice_reply const& answer);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace fescuevane::peer

#endif
