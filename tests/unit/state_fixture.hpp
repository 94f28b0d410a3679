// Purpose: fixture of tests of the control state: an in-memory table service
// and several processes that use it.
#ifndef FESCUEVANE_TESTS_UNIT_STATE_FIXTURE_HPP
#define FESCUEVANE_TESTS_UNIT_STATE_FIXTURE_HPP

#include "core/core.hpp"
#include "state/config.hpp"
#include "state/shard_owner.hpp"
#include "state/state.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::state
{

// The platform's table service: versions, conditions, remembered commit ids.
struct table_fake
{
    struct cell
    {
        std::string value_;
        revision    revision_ = 0;
        bool        deleted_ = false;
    };
    struct verdict
    {
        bool     applied_ = false;
        revision revision_ = 0;
    };

    std::map<std::string, cell>    cells_;
    std::map<std::string, verdict> verdicts_; // by commit id
    revision                       revision_ = 0;
    bool                           down_ = false;
    int                            lost_replies_ = 0; // commits to come
    std::size_t                    commits_ = 0;      // decided

    revision find_revision(std::string const& key) const;
    event    answer(read_rows const& request) const;
    event    answer(commit_rows const& request);
};

// One process and everything that it has told.
struct process_fake
{
    settings                  settings_;
    control_ptr               control_;
    std::vector<command>      told_;
    std::vector<command>      unanswered_; // requests of the last tick
    bool                      paused_ = false;
    bool                      cut_ = false;      // from the table service
    bool                      isolated_ = false; // from its peers
    bool                      attaches_ = true;  // to the targets of its shards
    std::map<shard_id, epoch> serves_;           // by acquired and released
    std::map<shard_id, std::map<team_id, resources>> allotments_;

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

    void post(event input) { post_event(*control_, std::move(input)); }
};

struct state_fixture
{
    table_fake                          store_;
    instant                             now_ = instant(10 * micros_per_second);
    std::map<std::string, process_fake> processes_;
    std::map<domain_id, std::uint32_t>  shard_counts_ = {{domain_id("east"), 2},
                                                         {domain_id("west"), 2}};

    process_fake& start(std::string const& name, std::string const& domain,
                        std::uint64_t incarnation = 1);
    void          kill(std::string const& name) { processes_.erase(name); }

    // Runs all processes in steps of 20 ms; the table service answers between.
    void run(std::int64_t millis);

    // Names of the processes that serve a shard now.
    std::vector<std::string> list_servers(shard_id const& shard) const;
    bool                     all_served_once() const;

    // Stages told to a call, in order.
    static std::vector<ticket_stage> list_stages(process_fake const& process,
                                                 std::uint64_t       call);
    static job_record make_record(shard_id const& shard, std::string const& id);

private:
    void step();
    void tick(process_fake& process);
    void note(process_fake& process, command const& told);
    void answer(process_fake& process);
    void exchange_heartbeats();
};

} // namespace fescuevane::state

#endif
