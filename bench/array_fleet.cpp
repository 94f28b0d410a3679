// Purpose: the baseline over plain arrays.
#include "bench/array_fleet.hpp"

#include "bench/statistics.hpp"

#include <utility>

namespace fescuevane::bench
{

namespace
{

bool has_room(room_table const& room, std::size_t row, resources const& demand)
{
    return room.free_slots_[row] > 0 && demand.fits_in(room.free_[row]);
}

} // namespace

std::optional<std::size_t> find_first_fit(room_table const& room,
                                          resources const&  demand)
{
    for (std::size_t row = 0; row < room.free_.size(); ++row)
    {
        if (has_room(room, row, demand))
        {
            return row;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> find_best_fit(room_table const& room,
                                         resources const&  demand)
{
    std::optional<std::size_t> best;
    for (std::size_t row = 0; row < room.free_.size(); ++row)
    {
        if (has_room(room, row, demand) &&
            (!best ||
             room.free_[row].cpu_millis() < room.free_[*best].cpu_millis()))
        {
            best = row;
        }
    }
    return best;
}

array_fleet::array_fleet(fleet_size const& size, fit_strategy fit)
    : fit_(fit)
    , room_{std::vector<resources>(size.targets_, size.capacity_),
            std::vector<std::int64_t>(size.targets_, size.slots_)}
    , all_free_slots_(std::int64_t{size.targets_} * size.slots_)
{
}

std::uint64_t array_fleet::queued_tasks() const
{
    std::uint64_t count = 0;
    for (job_spec const& spec : queue_)
    {
        count += spec.task_count_;
    }
    return count;
}

tick_sample array_fleet::tick()
{
    started_.clear();
    double const before = read_processor_micros();
    end_due();
    std::uint32_t         starts = 0;
    std::vector<job_spec> skipped;
    while (!queue_.empty() && all_free_slots_ > 0)
    {
        job_spec const& spec = queue_.front();
        if (place(spec))
        {
            starts += spec.task_count_;
            started_.push_back(spec.key_);
        }
        else
        {
            skipped.push_back(spec);
        }
        queue_.pop_front();
    }
    for (auto spec = skipped.rbegin(); spec != skipped.rend(); ++spec)
    {
        queue_.push_front(*spec);
    }
    return {read_processor_micros() - before, starts};
}

bool array_fleet::place(job_spec const& spec)
{
    std::vector<std::size_t> rows;
    while (rows.size() < spec.task_count_)
    {
        auto const row = fit_(room_, spec.demand_);
        if (!row)
        {
            break;
        }
        room_.free_[*row] = room_.free_[*row] - spec.demand_;
        --room_.free_slots_[*row];
        --all_free_slots_;
        rows.push_back(*row);
    }
    bool const whole = rows.size() == spec.task_count_;
    for (std::size_t const row : rows)
    {
        if (whole)
        {
            ends_.emplace(now_.after(spec.declared_run_micros_),
                          ending{row, spec.demand_});
            used_ = used_ + spec.demand_;
        }
        else
        {
            room_.free_[row] = room_.free_[row] + spec.demand_;
            ++room_.free_slots_[row];
            ++all_free_slots_;
        }
    }
    return whole;
}

void array_fleet::end_due()
{
    while (!ends_.empty() && ends_.begin()->first <= now_)
    {
        ending const& ended = ends_.begin()->second;
        room_.free_[ended.row_] = room_.free_[ended.row_] + ended.demand_;
        ++room_.free_slots_[ended.row_];
        ++all_free_slots_;
        used_ = used_ - ended.demand_;
        ends_.erase(ends_.begin());
    }
}

} // namespace fescuevane::bench
