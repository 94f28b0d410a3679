// Purpose: encoding of the rows of hosts, layouts, shards, limits and leases.
#include "cell/records.hpp"

#include "cell/record_error.hpp"
#include "cell/row_json.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <system_error>

namespace fescuevane::cell
{
namespace
{

using nlohmann::json;

// Upper bounds, far above what is written here. Other writers may store any
// number, and tables are sized by these counts.
constexpr std::uint32_t max_shards = 10'000;
constexpr double        max_cpu_share = 1024; // as in the settings

} // namespace

std::string write_host(host_record const& record)
{
    return json{{"address", record.address_},
                {"domain", record.domain_.str()},
                {"cpu", record.cpu_share_},
                {"incarnation", record.incarnation_}}
        .dump();
}

namespace
{

double read_cpu_share(json const& row)
{
    auto const share = row.at("cpu").get<double>();
    if (!(share >= 0 && share <= max_cpu_share))
    {
        throw record_error("host: processor share out of range");
    }
    return share;
}

} // namespace

host_record read_host(std::string const& text)
{
    return parse_row(text,
                     [](json const& row)
                     {
                         return host_record{
                             row.at("address").get<std::string>(),
                             domain_id(row.at("domain").get<std::string>()),
                             read_cpu_share(row),
                             read_monotonic(row, "incarnation")};
                     });
}

std::string write_owner(owner_record const& record)
{
    return json{{"host", record.host_.str()},
                {"incarnation", record.incarnation_},
                {"address", record.address_},
                {"epoch", record.epoch_},
                {"released", record.released_},
                {"successor", record.successor_.str()},
                {"exclusive", record.exclusive_},
                {"stops_over", record.stops_over_}}
        .dump();
}

owner_record read_owner(std::string const& text)
{
    return parse_row(text,
                     [](json const& row)
                     {
                         return owner_record{
                             host_id(row.at("host").get<std::string>()),
                             read_monotonic(row, "incarnation"),
                             row.at("address").get<std::string>(),
                             read_monotonic(row, "epoch"),
                             row.at("released").get<bool>(),
                             host_id(row.at("successor").get<std::string>()),
                             row.value("exclusive", false),
                             row.value("stops_over", false)};
                     });
}

row_key write_fence_key(shard_id const& shard, std::uint32_t part)
{
    return {"member", std::to_string(part), "shard/" + write_shard_name(shard)};
}

std::string write_shard_name(shard_id const& shard)
{
    return shard.domain_.str() + "." + std::to_string(shard.index_);
}

shard_id read_shard_name(std::string const& text)
{
    std::size_t const dot = text.rfind('.');
    shard_id          shard;
    char const* const end = text.data() + text.size();
    if (dot == std::string::npos)
    {
        throw record_error("malformed shard name: " + text);
    }
    auto const read = std::from_chars(text.data() + dot + 1, end, shard.index_);
    if (read.ec != std::errc() || read.ptr != end || shard.index_ >= max_shards)
    {
        throw record_error("malformed shard name: " + text);
    }
    shard.domain_ = domain_id(text.substr(0, dot));
    return shard;
}

std::string write_layout(layout_record const& record)
{
    json racks = json::object();
    for (auto const& [rack, index] : record.racks_)
    {
        racks[rack.str()] = index;
    }
    return json{{"shards", record.shards_}, {"racks", racks}}.dump();
}

layout_record read_layout(std::string const& text)
{
    return parse_row(
        text,
        [](json const& row)
        {
            layout_record record{.shards_ =
                                     read_count(row, "shards", max_shards)};
            for (auto const& [rack, index] : row.at("racks").items())
            {
                auto const shard = read_number<std::uint32_t>(index);
                if (shard >= record.shards_)
                {
                    throw record_error("layout: rack " + rack +
                                       " refers to no shard");
                }
                record.racks_[rack_id(rack)] = shard;
            }
            if (record.shards_ == 0)
            {
                throw record_error("layout: number of shards is 0");
            }
            return record;
        });
}

std::string write_allotment(allotment_record const& record)
{
    json parts = json::object();
    for (auto const& [shard, part] : record.parts_)
    {
        parts[write_shard_name(shard)] = part;
    }
    return json{{"parts", parts}}.dump();
}

allotment_record read_allotment(std::string const& text)
{
    return parse_row(text,
                     [](json const& row)
                     {
                         allotment_record record;
                         for (auto const& [shard, part] :
                              row.at("parts").items())
                         {
                             record.parts_[read_shard_name(shard)] =
                                 read_number<std::uint32_t>(part);
                         }
                         return record;
                     });
}

namespace
{

// In the order of the stored array.
constexpr std::array<double plan::run_time_sums::*, 8> run_time_members = {
    &plan::run_time_sums::weight_,      &plan::run_time_sums::x_,
    &plan::run_time_sums::y_,           &plan::run_time_sums::xx_,
    &plan::run_time_sums::xy_,          &plan::run_time_sums::yy_,
    &plan::run_time_sums::tail_weight_, &plan::run_time_sums::tail_excess_};

} // namespace

std::string write_run_times(std::vector<plan::run_time_row> const& rows,
                            std::size_t                            max_bytes)
{
    std::vector<plan::run_time_row> newest = rows;
    std::sort(newest.begin(), newest.end(),
              [](plan::run_time_row const& a, plan::run_time_row const& b)
              {
                  return a.learnt_unix_ms_ > b.learnt_unix_ms_;
              });
    std::string text = R"({"rows":[)";
    std::string separator;
    for (plan::run_time_row const& row : newest)
    {
        json sums = json::array();
        for (auto const member : run_time_members)
        {
            // Six decimals keep the spread, which is a difference of sums.
            constexpr double scale = 1e6;
            sums.push_back(std::round(row.sums_.*member * scale) / scale);
        }
        std::string const next =
            separator +
            json{{"organisation", row.key_.organisation_.str()},
                 {"queue", row.key_.queue_.str()},
                 {"image", row.key_.image_},
                 {"learnt", row.learnt_unix_ms_},
                 {"sums", sums}}
                .dump(-1, ' ', false, json::error_handler_t::replace);
        if (text.size() + next.size() + 2 > max_bytes)
        {
            break;
        }
        text += next;
        separator = ",";
    }
    return text + "]}";
}

std::vector<plan::run_time_row> read_run_times(std::string const& text)
{
    return parse_row(
        text,
        [](json const& row)
        {
            std::vector<plan::run_time_row> rows;
            for (json const& entry : row.at("rows"))
            {
                plan::run_time_row learnt{
                    .key_ = {organisation_id(
                                 entry.at("organisation").get<std::string>()),
                             queue_id(entry.at("queue").get<std::string>()),
                             entry.at("image").get<std::string>()},
                    .learnt_unix_ms_ = entry.at("learnt").get<std::int64_t>()};
                for (std::size_t index = 0; index < run_time_members.size();
                     ++index)
                {
                    learnt.sums_.*run_time_members.at(index) =
                        entry.at("sums").at(index).get<double>();
                }
                rows.push_back(std::move(learnt));
            }
            return rows;
        });
}

std::string write_grants(granted_targets const& targets)
{
    json rows = json::array();
    for (auto const& [id, target] : targets)
    {
        rows.push_back({{"id", id.str()},
                        {"address", target->address_},
                        {"domain", target->domain_.str()},
                        {"service", target->service_.str()},
                        {"rack", target->rack_.str()},
                        {"labels", target->labels_},
                        {"cpu", target->capacity_.cpu_millis()},
                        {"memory", target->capacity_.memory_mib()},
                        {"accelerators", target->capacity_.accelerators()},
                        {"leaving", target->leaving_}});
    }
    return json{{"targets", rows}}.dump(-1, ' ', false,
                                        json::error_handler_t::replace);
}

granted_targets read_grants(std::string const& text)
{
    return parse_row(
        text,
        [](json const& row)
        {
            granted_targets targets;
            for (json const& target : row.at("targets"))
            {
                target_id const id(target.at("id").get<std::string>());
                targets[id] =
                    std::make_shared<listed_target const>(listed_target{
                        .id_ = id,
                        .address_ = target.at("address").get<std::string>(),
                        .domain_ =
                            domain_id(target.at("domain").get<std::string>()),
                        .service_ =
                            service_id(target.at("service").get<std::string>()),
                        .rack_ = rack_id(target.at("rack").get<std::string>()),
                        .labels_ =
                            target.at("labels").get<std::vector<std::string>>(),
                        .capacity_ = {read_amount(target, "cpu"),
                                      read_amount(target, "memory"),
                                      read_amount(target, "accelerators")},
                        .leaving_ = target.value("leaving", false)});
            }
            return targets;
        });
}

} // namespace fescuevane::cell
