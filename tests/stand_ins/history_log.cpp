// Purpose: appends histories to a file as JSON lines.
#include "tests/stand_ins/history_log.hpp"

#include "core/names.hpp"
#include "tests/stand_ins/history_entry.hpp"

#include <nlohmann/json.hpp>

#include <ios>
#include <stdexcept>

namespace fescuevane::stand_ins
{
namespace
{

void add_task(nlohmann::ordered_json& json, decide::start_task const& start)
{
    json["team"] = start.task_.job_.team_.str();
    json["job"] = start.task_.job_.job_.str();
    json["index"] = start.task_.index_;
    json["attempt"] = start.task_.attempt_;
    json["kind"] = format_name(start.spec_->kind_);
    json["service"] = start.spec_->service_.str();
    json["idempotent"] = start.spec_->idempotent_;
    json["cpu_millis"] = start.reservation_.cpu_millis();
    json["memory_mib"] = start.reservation_.memory_mib();
    json["accelerators"] = start.reservation_.accelerators();
}

} // namespace

history_log::history_log(std::string const& path)
{
    if (!path.empty())
    {
        file_.open(path, std::ios::app);
        if (!file_)
        {
            throw std::runtime_error("can't append to " + path);
        }
    }
}

void history_log::append(history_entry const& entry)
{
    if (file_.is_open())
    {
        file_ << format_history(entry) + "\n" << std::flush;
    }
}

std::string format_history(history_entry const& entry)
{
    nlohmann::ordered_json json;
    json["t_us"] = entry.time_.micros();
    json["event"] = entry.event_;
    json["target"] = entry.target_.str();
    json["failure_domain"] = entry.domain_.str();
    json["shard"] = entry.shard_;
    json["epoch"] = entry.epoch_;
    if (entry.task_)
    {
        add_task(json, *entry.task_);
    }
    if (!entry.outcome_.empty())
    {
        json["outcome"] = entry.outcome_;
    }
    if (!entry.reason_.empty())
    {
        json["reason"] = entry.reason_;
    }
    return json.dump();
}

} // namespace fescuevane::stand_ins
