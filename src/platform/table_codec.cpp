#include "json_fields.hpp"

#include <geraniumdoor/platform/table_codec.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace geraniumdoor
{

namespace json = boost::json;

namespace
{

json::object encode_check(const row_check& check)
{
    return {{"key", check.m_key}, {"version", check.m_version}};
}

json::object encode_write(const row_write& write)
{
    if (not write.m_value)
    {
        return {{"key", write.m_key}, {"delete", true}};
    }
    return {{"key", write.m_key}, {"value", *write.m_value}};
}

result<table_row, decode_error> decode_row_value(const json::value& value)
{
    const auto* object = value.if_object();
    if (object == nullptr)
    {
        return not_an_object();
    }
    auto key = string_field(*object, "key");
    if (not key)
    {
        return missing_field("key");
    }
    const auto version = integer_field<std::uint64_t>(*object, "version");
    if (not version)
    {
        return missing_field("version");
    }
    auto text = string_field(*object, "value");
    if (not text && *version != 0)
    {
        return missing_field("value");
    }
    return table_row{std::move(*key), *version, std::move(text).value_or("")};
}

result<std::vector<table_row>, decode_error> decode_row_list(const json::object& object,
                                                             std::string_view field)
{
    const auto* list = object.if_contains(field);
    if (list == nullptr || not list->is_array())
    {
        return missing_field(field);
    }
    std::vector<table_row> rows;
    for (const auto& value : list->get_array())
    {
        auto row = decode_row_value(value);
        if (not is_ok(row))
        {
            return error_of(row);
        }
        rows.push_back(value_of(std::move(row)));
    }
    return rows;
}

result<std::vector<table_row>, decode_error>
decode_versions(const table_transaction& transaction, const json::object& object)
{
    const auto* versions = object.if_contains("versions");
    if (versions == nullptr || not versions->is_object())
    {
        return missing_field("versions");
    }
    std::vector<table_row> rows;
    for (const auto& write : transaction.m_writes)
    {
        const auto version =
            integer_field<std::uint64_t>(versions->get_object(), write.m_key);
        if (not version && write.m_value)
        {
            return missing_field(write.m_key);
        }
        rows.push_back(
            table_row{write.m_key, version.value_or(0), write.m_value.value_or("")});
    }
    return rows;
}

const row_check* find_check(const table_transaction& transaction, const std::string& key)
{
    const auto at = std::find_if(transaction.m_checks.begin(), transaction.m_checks.end(),
                                 [&key](const row_check& check)
                                 {
                                     return check.m_key == key;
                                 });
    return at == transaction.m_checks.end() ? nullptr : &*at;
}

/// Whether the rows can come from this transaction and not from an earlier one on the
/// same rows: each row written is newer than the version that was checked.
bool proves_commit(const table_transaction& transaction,
                   const std::vector<table_row>& rows)
{
    return std::all_of(transaction.m_writes.begin(), transaction.m_writes.end(),
                       [&](const row_write& write)
                       {
                           const auto* check = find_check(transaction, write.m_key);
                           const auto row =
                               std::find_if(rows.begin(), rows.end(),
                                            [&write](const table_row& other)
                                            {
                                                return other.m_key == write.m_key;
                                            });
                           return !write.m_value || check == nullptr ||
                                  row->m_version > check->m_version;
                       });
}

/// The same for a conflict: a row has another version than the one that was checked.
bool proves_conflict(const table_transaction& transaction,
                     const std::vector<table_row>& rows)
{
    return std::any_of(rows.begin(), rows.end(),
                       [&](const table_row& row)
                       {
                           const auto* check = find_check(transaction, row.m_key);
                           return check != nullptr && row.m_version != check->m_version;
                       });
}

} // namespace

std::string encode_transaction(const table_transaction& transaction)
{
    json::array checks;
    for (const auto& check : transaction.m_checks)
    {
        checks.emplace_back(encode_check(check));
    }
    json::array writes;
    for (const auto& write : transaction.m_writes)
    {
        writes.emplace_back(encode_write(write));
    }
    return json::serialize(
        json::object{{"checks", std::move(checks)}, {"writes", std::move(writes)}});
}

result<table_transaction_end, decode_error>
decode_transaction_answer(const table_transaction& transaction, std::string_view text)
{
    const auto object = parse_object(text);
    if (not object)
    {
        return not_an_object();
    }
    const auto* committed = object->if_contains("committed");
    if (committed == nullptr || not committed->is_bool())
    {
        return missing_field("committed");
    }
    const bool is_committed = committed->get_bool();
    auto rows = is_committed ? decode_versions(transaction, *object)
                             : decode_row_list(*object, "conflicts");
    if (not is_ok(rows))
    {
        return error_of(rows);
    }
    const bool is_proved = is_committed ? proves_commit(transaction, value_of(rows))
                                        : proves_conflict(transaction, value_of(rows));
    if (not is_proved)
    {
        return decode_error{"the versions do not follow from the checks"};
    }
    const auto outcome =
        is_committed ? table_outcome::committed : table_outcome::conflict;
    return table_transaction_end{transaction.m_id, outcome, value_of(std::move(rows))};
}

result<table_row, decode_error> decode_row(std::string_view key, std::string_view text)
{
    const auto object = parse_object(text);
    if (not object)
    {
        return not_an_object();
    }
    auto row = decode_row_value(*object);
    if (is_ok(row) && value_of(row).m_key != key)
    {
        return decode_error{"the row has another key"};
    }
    return row;
}

result<std::vector<table_row>, decode_error> decode_rows(std::string_view prefix,
                                                         std::string_view text)
{
    const auto object = parse_object(text);
    if (not object)
    {
        return not_an_object();
    }
    auto rows = decode_row_list(*object, "rows");
    if (not is_ok(rows))
    {
        return rows;
    }
    for (const auto& row : value_of(rows))
    {
        if (not row.m_key.starts_with(prefix))
        {
            return decode_error{"a row is outside the prefix"};
        }
    }
    return rows;
}

} // namespace geraniumdoor
