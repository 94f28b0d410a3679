// Purpose: members of the fixture of the control state, and tests that the
// table service it fakes keeps its promises.
#include "tests/unit/state_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::state
{

revision table_fake::find_revision(std::string const& key) const
{
    auto const found = cells_.find(key);
    return found == cells_.end() || found->second.deleted_
               ? 0
               : found->second.revision_;
}

event table_fake::answer(read_rows const& request) const
{
    if (down_)
    {
        return store_failed{request.request_};
    }
    std::vector<table_row> rows;
    for (auto const& [key, cell] : cells_)
    {
        bool const wanted = request.after_ == 0
                                ? !cell.deleted_
                                : cell.revision_ > request.after_;
        if (key.starts_with(request.prefix_) && wanted)
        {
            rows.push_back({key, cell.value_, cell.revision_, cell.deleted_});
        }
    }
    return rows_read{request.request_, rows, revision_};
}

event table_fake::answer(commit_rows const& request)
{
    if (down_)
    {
        return store_failed{request.request_};
    }
    auto found = verdicts_.find(request.commit_id_);
    if (found == verdicts_.end())
    {
        verdict result{true, revision_ + 1};
        for (row_condition const& condition : request.conditions_)
        {
            if (find_revision(condition.key_) != condition.revision_)
            {
                result.applied_ = false;
            }
        }
        if (result.applied_)
        {
            ++revision_;
            for (row_write const& write : request.writes_)
            {
                cells_[write.key_] = {write.value_, revision_, write.remove_};
            }
        }
        ++commits_;
        found = verdicts_.emplace(request.commit_id_, result).first;
    }
    if (lost_replies_ > 0)
    {
        --lost_replies_;
        return store_failed{request.request_};
    }
    return commit_ended{
        request.request_, found->second.applied_, found->second.revision_, {}};
}

process_fake& state_fixture::start(std::string const& name,
                                   std::string const& domain,
                                   std::uint64_t      incarnation)
{
    settings values;
    values.host_ = host_id(name);
    values.domain_ = domain_id(domain);
    values.address_ = "127.0.0.1:" + name;
    values.incarnation_ = incarnation;
    values.shard_counts_ = shard_counts_;
    process_fake process;
    process.settings_ = values;
    process.control_ = make_control(values, now_);
    processes_.erase(name);
    return processes_.emplace(name, std::move(process)).first->second;
}

void state_fixture::run(std::int64_t millis)
{
    for (std::int64_t passed = 0; passed < millis; passed += 20)
    {
        step();
    }
}

void state_fixture::step()
{
    now_ = now_.after(20 * micros_per_milli);
    exchange_heartbeats();
    for (auto& [name, process] : processes_)
    {
        if (!process.paused_)
        {
            tick(process);
        }
    }
    for (auto& [name, process] : processes_)
    {
        answer(process);
    }
}

void state_fixture::tick(process_fake& process)
{
    std::vector<command> output;
    run_tick(*process.control_, now_, output);
    for (command const& told : output)
    {
        note(process, told);
    }
}

void state_fixture::note(process_fake& process, command const& told)
{
    process.told_.push_back(told);
    if (std::holds_alternative<read_rows>(told) ||
        std::holds_alternative<commit_rows>(told))
    {
        process.unanswered_.push_back(told);
    }
    if (auto const* acquired = std::get_if<shard_acquired>(&told))
    {
        process.serves_[acquired->shard_] = acquired->epoch_;
        if (process.attaches_)
        {
            process.post(shard_ready{acquired->shard_, acquired->epoch_});
        }
    }
    if (auto const* released = std::get_if<shard_released>(&told))
    {
        process.serves_.erase(released->shard_);
        process.allotments_.erase(released->shard_);
    }
    if (auto const* changed = std::get_if<allotments_changed>(&told))
    {
        process.allotments_.erase(changed->shard_);
        process.allotments_.emplace(changed->shard_, changed->teams_);
    }
}

void state_fixture::answer(process_fake& process)
{
    for (command const& request : std::exchange(process.unanswered_, {}))
    {
        if (auto const* read = std::get_if<read_rows>(&request))
        {
            process.post(process.cut_ ? event(store_failed{read->request_})
                                      : store_.answer(*read));
        }
        if (auto const* commit = std::get_if<commit_rows>(&request))
        {
            process.post(process.cut_ ? event(store_failed{commit->request_})
                                      : store_.answer(*commit));
        }
    }
}

void state_fixture::exchange_heartbeats()
{
    for (auto const& [sender_name, sender] : processes_)
    {
        for (auto& [name, receiver] : processes_)
        {
            if (name != sender_name && !sender.paused_ && !sender.isolated_ &&
                !receiver.isolated_)
            {
                receiver.post(peer_seen{
                    .host_ = sender.settings_.host_,
                    .domain_ = sender.settings_.domain_,
                    .address_ = sender.settings_.address_,
                    .committed_ = committed_number(*sender.control_),
                    .accepted_ = accepted_config(*sender.control_)->number_});
            }
        }
    }
}

std::vector<std::string>
state_fixture::list_servers(shard_id const& shard) const
{
    std::vector<std::string> names;
    for (auto const& [name, process] : processes_)
    {
        if (process.serves_.contains(shard))
        {
            names.push_back(name);
        }
    }
    return names;
}

bool state_fixture::all_served_once() const
{
    for (auto const& [domain, count] : shard_counts_)
    {
        for (std::uint32_t index = 0; index < count; ++index)
        {
            if (list_servers({domain, index}).size() != 1)
            {
                return false;
            }
        }
    }
    return true;
}

std::vector<ticket_stage>
state_fixture::list_stages(process_fake const& process, std::uint64_t call)
{
    std::vector<ticket_stage> stages;
    for (ticket_progress const& progress : process.list<ticket_progress>())
    {
        if (progress.call_ == call)
        {
            stages.push_back(progress.stage_);
        }
    }
    return stages;
}

job_record state_fixture::make_record(shard_id const&    shard,
                                      std::string const& id)
{
    return {shard,
            std::make_shared<job_spec const>(job_spec{
                .key_ = {team_id("cafes"), job_id(id)},
                .service_ = service_id("refills"),
                .kind_ = work_kind::batch,
                .payload_ = std::make_shared<std::string const>("\xff\0x", 3)}),
            nullptr};
}

namespace
{

// Guards against tests that pass because the fake repeats a commit.
TEST_CASE_FIXTURE(state_fixture,
                  "table fake, lost reply and second attempt, commits once")
{
    store_.lost_replies_ = 1;
    commit_rows const commit{1, "a:1:1", {{"k", 0}}, {{"k", "v"}}};
    CHECK(std::holds_alternative<store_failed>(store_.answer(commit)));
    auto const second = store_.answer(commit);
    CHECK(std::get<commit_ended>(second).applied_);
    CHECK(store_.revision_ == 1);
}

} // namespace
} // namespace fescuevane::state
