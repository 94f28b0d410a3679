// Purpose: codec of platform.proto.
#include "wire/platform_codec.hpp"

#include "wire/fields.hpp"

#include <platform.pb.h>

#include <string>
#include <utility>
#include <vector>

namespace fescuevane::wire
{

using namespace detail;

namespace
{

std::string const& decode_key(std::string const& key, char const* field)
{
    check_present(!key.empty(), field);
    check_text(key, field, max_key_bytes);
    return key;
}

state::table_row decode_row(platform::v1::Row const& row)
{
    check_text(row.value(), "rows.value", max_body_bytes);
    check_present(row.revision() != 0, "rows.revision");
    return {.key_ = decode_key(row.key(), "rows.key"),
            .value_ = row.value(),
            .revision_ = row.revision(),
            .deleted_ = row.deleted()};
}

state::row_write decode_write(platform::v1::Write const& write)
{
    check_text(write.value(), "writes.value", max_body_bytes);
    return {.key_ = decode_key(write.key(), "writes.key"),
            .value_ = write.value(),
            .remove_ = write.remove()};
}

} // namespace

void encode_read(state::read_rows const&    value,
                 platform::v1::ReadRequest& message)
{
    message.set_prefix(value.prefix_);
    message.set_after_revision(value.after_);
}

void encode_commit(state::commit_rows const&    value,
                   platform::v1::CommitRequest& message)
{
    message.set_commit_id(value.commit_id_);
    for (state::row_condition const& each : value.conditions_)
    {
        platform::v1::Condition& condition = *message.add_conditions();
        condition.set_key(each.key_);
        condition.set_revision(each.revision_);
    }
    for (state::row_write const& each : value.writes_)
    {
        platform::v1::Write& write = *message.add_writes();
        write.set_key(each.key_);
        write.set_value(each.value_);
        write.set_remove(each.remove_);
    }
}

state::rows_read decode_read_reply(platform::v1::ReadReply const& message,
                                   std::uint64_t                  request)
{
    std::vector<state::table_row> rows;
    rows.reserve(static_cast<std::size_t>(message.rows_size()));
    for (platform::v1::Row const& row : message.rows())
    {
        rows.push_back(decode_row(row));
    }
    return {.request_ = request,
            .rows_ = std::move(rows),
            .revision_ = message.revision()};
}

state::commit_ended
decode_commit_reply(platform::v1::CommitReply const& message,
                    std::uint64_t                    request)
{
    check_present(!message.applied() || message.revision() != 0, "revision");
    std::vector<std::string> keys;
    for (std::string const& key : message.conflicting_keys())
    {
        keys.push_back(decode_key(key, "conflicting_keys"));
    }
    return {.request_ = request,
            .applied_ = message.applied(),
            .revision_ = message.revision(),
            .conflicting_keys_ = std::move(keys)};
}

state::read_rows decode_read(platform::v1::ReadRequest const& message)
{
    check_text(message.prefix(), "prefix", max_key_bytes);
    return {.prefix_ = message.prefix(), .after_ = message.after_revision()};
}

state::commit_rows decode_commit(platform::v1::CommitRequest const& message)
{
    check_present(!message.commit_id().empty(), "commit_id");
    check_text(message.commit_id(), "commit_id", max_id_bytes);
    std::vector<state::row_condition> conditions;
    for (platform::v1::Condition const& each : message.conditions())
    {
        conditions.push_back(
            {decode_key(each.key(), "conditions.key"), each.revision()});
    }
    std::vector<state::row_write> writes;
    for (platform::v1::Write const& each : message.writes())
    {
        writes.push_back(decode_write(each));
    }
    return {.commit_id_ = message.commit_id(),
            .conditions_ = std::move(conditions),
            .writes_ = std::move(writes)};
}

void encode_read_reply(state::rows_read const&  value,
                       platform::v1::ReadReply& message)
{
    for (state::table_row const& each : value.rows_)
    {
        platform::v1::Row& row = *message.add_rows();
        row.set_key(each.key_);
        row.set_value(each.value_);
        row.set_revision(each.revision_);
        row.set_deleted(each.deleted_);
    }
    message.set_revision(value.revision_);
}

void encode_commit_reply(state::commit_ended const& value,
                         platform::v1::CommitReply& message)
{
    message.set_applied(value.applied_);
    message.set_revision(value.revision_);
    for (std::string const& key : value.conflicting_keys_)
    {
        message.add_conflicting_keys(key);
    }
}

} // namespace fescuevane::wire
