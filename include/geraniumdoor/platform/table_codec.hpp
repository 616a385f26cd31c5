#pragma once

#include <geraniumdoor/base/result.hpp>
#include <geraniumdoor/platform/decode_error.hpp>
#include <geraniumdoor/request/coordinator_actions.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace geraniumdoor
{

/// Returns the body of POST /v1/txn.
std::string encode_transaction(const table_transaction& transaction);

/// Decodes the answer to this transaction. An answer that says committed without a
/// version for every write is an error.
result<table_transaction_end, decode_error>
decode_transaction_answer(const table_transaction& transaction, std::string_view text);

/// Decodes the answer of GET /v1/rows/{key}. A row with another key is an error.
result<table_row, decode_error> decode_row(std::string_view key, std::string_view text);

/// Decodes the answer of GET /v1/scan. A row outside the prefix is an error.
result<std::vector<table_row>, decode_error> decode_rows(std::string_view prefix,
                                                         std::string_view text);

} // namespace geraniumdoor
