// Purpose: the control state of one process over a table service in memory.
#include "bench/control_rig.hpp"

#include "bench/statistics.hpp"

#include <stdexcept>
#include <variant>

namespace fescuevane::bench
{

namespace
{

constexpr std::int64_t tick_micros = 20'000;
constexpr std::int64_t heartbeat_micros = 200'000;

state::settings make_settings()
{
    state::settings values;
    values.host_ = host_id("host-0");
    values.domain_ = domain_id("d0");
    values.address_ = "127.0.0.1:7000";
    values.shard_counts_ = {{domain_id("d0"), 1}};
    return values;
}

} // namespace

control_rig::control_rig(std::uint32_t peers)
    : control_(state::make_control(make_settings(), now_)), peers_(peers)
{
    run(5'000);
    if (!owned_)
    {
        throw std::runtime_error("the process did not get its shard");
    }
}

void control_rig::post(state::event input)
{
    state::post_event(*control_, std::move(input));
}

void control_rig::post_heartbeats()
{
    for (std::uint32_t peer = 1; peer <= peers_; ++peer)
    {
        post(state::peer_seen{
            .host_ = host_id("host-" + std::to_string(peer)),
            .domain_ = domain_id("d" + std::to_string(1 + peer % 7)),
            .address_ = "127.0.0.1:" + std::to_string(7000 + peer),
            .committed_ = accepted_,
            .accepted_ = accepted_});
    }
}

double control_rig::step(std::int64_t micros)
{
    now_ = now_.after(micros);
    std::vector<state::command> told;
    double const                before = read_processor_micros();
    state::run_tick(*control_, now_, told);
    double const spent = read_processor_micros() - before;
    for (state::command const& each : told)
    {
        note(each);
    }
    return spent;
}

double control_rig::run(std::int64_t millis)
{
    double spent = 0;
    for (std::int64_t passed = 0; passed < millis * micros_per_milli;
         passed += tick_micros)
    {
        since_heartbeat_ += tick_micros;
        if (since_heartbeat_ >= heartbeat_micros)
        {
            since_heartbeat_ = 0;
            post_heartbeats();
        }
        spent += step(tick_micros);
    }
    return spent;
}

void control_rig::file_ticket(std::string const& text)
{
    ++tickets_;
    post(state::ticket_filed{tickets_, R"({"number":)" +
                                           std::to_string(tickets_) + "," +
                                           text + "}"});
}

void control_rig::note(state::command const& told)
{
    if (auto const* read = std::get_if<state::read_rows>(&told))
    {
        answer(*read);
    }
    if (auto const* commit = std::get_if<state::commit_rows>(&told))
    {
        answer(*commit);
    }
    if (auto const* acquired = std::get_if<state::shard_acquired>(&told))
    {
        owned_ = true;
        post(state::shard_ready{acquired->shard_});
    }
    if (auto const* progress = std::get_if<state::ticket_progress>(&told))
    {
        accepted_ += progress->stage_ == state::ticket_stage::accepted ? 1 : 0;
    }
    if (auto const* recorded = std::get_if<state::job_recorded>(&told))
    {
        recorded_ += recorded->recorded_ ? 1 : 0;
    }
    // The scheduler of the shard has applied the parts at once.
    if (auto const* changed = std::get_if<state::allotments_changed>(&told))
    {
        post(state::load_noted{changed->shard_, {}});
    }
}

void control_rig::answer(state::read_rows const& request)
{
    std::vector<state::table_row> rows;
    for (auto const& [key, value] : cells_)
    {
        bool const wanted = request.after_ == 0
                                ? !value.removed_
                                : value.revision_ > request.after_;
        if (wanted && key.starts_with(request.prefix_))
        {
            rows.push_back(
                {key, value.value_, value.revision_, value.removed_});
        }
    }
    post(state::rows_read{request.request_, rows, revision_});
}

void control_rig::answer(state::commit_rows const& request)
{
    bool applies = true;
    for (state::row_condition const& condition : request.conditions_)
    {
        auto const found = cells_.find(condition.key_);
        bool const present = found != cells_.end() && !found->second.removed_;
        applies = applies && condition.revision_ ==
                                 (present ? found->second.revision_ : 0);
    }
    if (applies)
    {
        ++revision_;
        for (state::row_write const& write : request.writes_)
        {
            cells_[write.key_] = {write.value_, revision_, write.remove_};
        }
    }
    post(state::commit_ended{request.request_, applies, revision_, {}});
}

} // namespace fescuevane::bench
