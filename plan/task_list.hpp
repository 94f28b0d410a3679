// Purpose: the tasks of an open stage and the number of waiting ones. Internal
// to the package.
#ifndef FESCUEVANE_PLAN_TASK_LIST_HPP
#define FESCUEVANE_PLAN_TASK_LIST_HPP

#include "plan/task_cell.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace fescuevane::plan
{

// Tasks are changed only through `change`, so the number always matches them.
class task_list
{
public:
    task_list() = default;
    explicit task_list(std::vector<task_cell> tasks)
        : tasks_(std::move(tasks))
        , waiting_(std::count_if(tasks_.begin(), tasks_.end(), is_waiting))
    {
    }

    std::size_t      size() const { return tasks_.size(); }
    task_cell const& operator[](std::size_t index) const
    {
        return tasks_[index];
    }
    auto begin() const { return tasks_.begin(); }
    auto end() const { return tasks_.end(); }

    std::int64_t waiting() const { return waiting_; }

    // Calls `apply` with the task. Throws std::out_of_range.
    template <typename Apply>
    void change(std::size_t index, Apply const& apply)
    {
        task_cell& task = tasks_.at(index);
        waiting_ -= is_waiting(task) ? 1 : 0;
        apply(task);
        waiting_ += is_waiting(task) ? 1 : 0;
    }

    template <typename Apply>
    void change_all(Apply const& apply)
    {
        for (std::size_t index = 0; index < tasks_.size(); ++index)
        {
            change(index, apply);
        }
    }

private:
    std::vector<task_cell> tasks_;
    std::int64_t           waiting_ = 0;
};

} // namespace fescuevane::plan

#endif
