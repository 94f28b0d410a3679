// Purpose: fixture of tests of the node: several nodes in one process, with
// in-memory tables, targets and messages, and switches for faults.
//
// Index of sections
//   1. Parts
//   2. Fixture
#ifndef FESCUEVANE_TESTS_UNIT_NODE_FIXTURE_HPP
#define FESCUEVANE_TESTS_UNIT_NODE_FIXTURE_HPP

#include "core/core.hpp"
#include "decide/decide.hpp"
#include "entry/node.hpp"
#include "tests/unit/state_fixture.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::entry
{

// 1. Parts

// One way between two nodes. What was sent before a cut still arrives.
struct peer_way
{
    bool                                     cut_ = false;
    std::int64_t                             delay_micros_ = 0; // extra
    std::function<bool(peer_message const&)> drops_; // true: lose the message
    std::size_t                              dropped_ = 0; // by `drops_`
};

// One node, its switches and all commands that it has given.
struct node_member
{
    settings                           settings_;
    node_ptr                           node_;
    bool                               armed_ = true;      // has new events
    bool                               paused_ = false;    // runs no ticks
    bool                               store_cut_ = false; // for this node
    std::map<target_id, std::uint64_t> links_;             // attachments
    std::vector<command>               told_;
    bool                               reads_ = true; // false: nothing arrives
    std::vector<event>                 unread_; // arrived while it read nothing

    template <typename Command>
    std::vector<Command> list() const
    {
        std::vector<Command> found;
        for (command const& each : told_)
        {
            if (auto const* value = std::get_if<Command>(&each))
            {
                found.push_back(*value);
            }
        }
        return found;
    }
};

// A target as its protocol describes it: highest epoch, one link, leases by its
// own clock, ends kept until acknowledged.
struct target_fake
{
    struct running_task
    {
        decide::start_task start_;
        instant            end_;
    };

    listed_host                            listed_;
    std::uint64_t                          incarnation_ = 1;
    std::int64_t                           clock_offset_ = 77'000'000;
    std::int64_t                           run_micros_ = 20'000; // of new tasks
    epoch                                  epoch_ = 0;
    host_id                                owner_; // end of the current link
    std::uint64_t                          attachment_ = 0;
    instant                                lease_end_;
    std::map<task_key, running_task>       running_;
    std::map<task_key, decide::task_ended> ended_;
    std::vector<decide::start_task>        started_; // all, in order

    // Switches
    bool silent_ = false;          // all messages are lost, without notice
    bool unlisted_ = false;        // the list of hosts doesn't name it
    bool breaks_on_start_ = false; // once: a batch with starts is lost and
                                   // the link breaks
};

// 2. Fixture

struct node_fixture
{
    using way = std::pair<std::string, std::string>; // sender, receiver

    instant                            now_ = instant(10 * micros_per_second);
    state::table_fake                  store_;
    std::map<std::string, node_member> nodes_;
    std::map<std::string, target_fake> targets_;
    std::map<way, peer_way>            ways_;
    std::map<domain_id, std::uint32_t> shard_counts_ = {{domain_id("east"), 1},
                                                        {domain_id("west"), 1}};
    std::size_t   overlaps_ = 0; // starts while the task ran already
    std::uint64_t next_call_ = 0;

    // Cell
    node_member& start(std::string const& name, std::string const& domain,
                       std::uint64_t incarnation = 1);
    void         kill(std::string const& name) { nodes_.erase(name); }
    target_fake& add_target(std::string const& name, std::string const& domain);
    void         restart_target(std::string const& name);
    void set_isolated(std::string const& name, bool cut); // peers and store

    // Time without processor time: the node neither ticks nor reads. What was
    // sent meanwhile is read shortly after its next tick.
    void pause(std::string const& name, std::int64_t micros);

    // Two nodes and two targets in "east", the same in "west"; ticket 1 sets
    // team "cafes" with key "k1", service "refills" and open service "lobby".
    void start_cell();

    // Time
    void run(std::int64_t micros);
    bool run_until(std::function<bool()> const& holds,
                   std::int64_t                 limit_micros);

    // Calls; each returns its number.
    std::uint64_t submit(std::string const& node, job_spec const& spec,
                         std::string const& key = "k1");
    std::uint64_t look_up(std::string const& node, std::string const& id);
    std::uint64_t file(std::string const& node, std::string const& text);
    void          post(std::string const& node, event input);

    // Runs until the call is answered, a minute at most. `submit_and_wait`
    // fails the test when no answer came.
    std::optional<job_result> wait(std::string const& node, std::uint64_t call);
    job_result submit_and_wait(std::string const& node, job_spec const& spec);

    // Files a ticket and runs until it is accepted.
    bool accept_ticket(std::string const& node, std::string const& text);

    // Queries
    std::vector<job_result>   list_answers(std::string const& node,
                                           std::uint64_t      call) const;
    std::optional<call_error> find_rejection(std::string const& node,
                                             std::uint64_t      call) const;
    std::string               find_owner(std::string const& domain) const;
    std::string   find_other(std::string const& domain) const; // not the owner
    std::size_t   count_starts(std::string const& id) const;
    std::size_t   count_running(std::string const& id) const;
    std::size_t   count_journal_rows(std::string const& id) const; // present
    std::string   find_target_of(std::string const& id) const;     // last start
    std::uint64_t read_counter(std::string const& node, counter which) const;
    bool          is_settled() const; // all shards ready at all nodes

    // Values
    static job_spec make_request(std::string const& id, bool idempotent = true);
    static job_spec make_batch(std::string const& id, std::uint32_t tasks);
    static std::string write_domain_ticket(int number, std::string const& id,
                                           bool in_service);

private:
    struct delivery
    {
        std::string           receiver_; // node; empty: none
        std::uint64_t         incarnation_ = 0;
        std::function<void()> arrive_;
    };
    using mail_key = std::pair<instant, std::uint64_t>; // due, order of sending

    std::map<mail_key, delivery> mail_;
    std::uint64_t                next_mail_ = 0;
    instant                      hosts_due_;
    std::size_t                  steps_at_once_ = 0;

    void    step();
    instant find_next() const;
    void    deliver();
    void    list_hosts();
    void    tick(std::string const& name, node_member& member);
    void    end_tasks(std::string const& name, target_fake& target);
    void    send(std::int64_t delay, delivery mail);
    void    send_event(std::string const& node, std::int64_t delay,
                       event const& input);

    void obey(std::string const& from, command const& order);
    void pass(std::string const& from, send_peer const& order);
    void ask_store(std::string const& from, state::event const& reply);
    void attach(std::string const& from, attach_target const& order);
    void take_attach(std::string const& from, attach_target const& order);
    void take_batch(std::string const& from, std::uint64_t attachment,
                    send_target const& batch);
    void take_start(target_fake& target, decide::start_task const& order,
                    std::vector<decide::event>& told);
    void take_stop(target_fake& target, decide::stop_task const& order,
                   std::vector<decide::event>& told);
    void report(target_fake& target, std::vector<decide::event> events,
                bool snapshot);
};

} // namespace fescuevane::entry

#endif
