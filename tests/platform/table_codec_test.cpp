#include "fuzz_support.hpp"
#include "testing.hpp"

#include <geraniumdoor/platform/table_codec.hpp>

#include <rapidcheck.h>

using namespace geraniumdoor;

namespace
{

table_transaction two_writes()
{
    return {table_call_id{7}, {{"claim/a", 0}}, {{"claim/a", "x"}, {"old", {}}}};
}

constexpr std::string_view committed = R"({"committed":true,"versions":{"claim/a":5}})";
constexpr std::string_view conflict =
    R"({"committed":false,"conflicts":[{"key":"claim/a","version":3,"value":"y"}]})";

} // namespace

// Guards against an answer that is taken for a commit without proof of it, and against
// crashes on malformed answers.
TestSuite(table_codec);

Test(table_codec, encodes_inserts_and_deletions)
{
    EXPECT_EQUAL(
        encode_transaction(two_writes()),
        R"({"checks":[{"key":"claim/a","version":0}],)"
        R"("writes":[{"key":"claim/a","value":"x"},{"key":"old","delete":true}]})");
}

Test(table_codec, reads_the_versions_of_a_commit)
{
    const auto end = decode_transaction_answer(two_writes(), committed);
    cr_assert(is_ok(end));
    cr_expect(value_of(end).m_outcome == table_outcome::committed);
    cr_assert(value_of(end).m_rows.size() == 2);
    EXPECT_EQUAL(value_of(end).m_rows[0].m_version, 5u);
    EXPECT_EQUAL(value_of(end).m_rows[1].m_version, 0u);
}

Test(table_codec, reads_the_rows_of_a_conflict)
{
    const auto end = decode_transaction_answer(two_writes(), conflict);
    cr_assert(is_ok(end));
    cr_expect(value_of(end).m_outcome == table_outcome::conflict);
    cr_assert(value_of(end).m_rows.size() == 1);
    EXPECT_EQUAL(value_of(end).m_rows[0].m_value, "y");
}

Test(table_codec, refuses_a_commit_without_the_version_of_a_write)
{
    cr_expect(not is_ok(decode_transaction_answer(
        two_writes(), R"({"committed":true,"versions":{"other":5}})")));
}

Test(table_codec, refuses_rows_of_another_key_or_prefix)
{
    cr_expect(not is_ok(decode_row("a", R"({"key":"b","version":1,"value":"v"})")));
    cr_expect(not is_ok(
        decode_rows("owner/", R"({"rows":[{"key":"b","version":1,"value":"v"}]})")));
    cr_expect(not is_ok(decode_row("a", R"({"key":"a","version":-1,"value":"v"})")));
}

Test(table_codec, refuses_truncated_answers)
{
    const auto decode = [](std::string_view text)
    {
        return is_ok(decode_transaction_answer(two_writes(), text));
    };
    EXPECT_EQUAL(accepted_prefixes(committed, decode), 0u);
    EXPECT_EQUAL(accepted_prefixes(conflict, decode), 0u);
}

Test(table_codec, survives_random_and_damaged_bytes)
{
    const bool held = rc::check(
        [](const std::string& noise, std::size_t position, char byte)
        {
            decode_transaction_answer(two_writes(), noise);
            decode_row(noise, noise);
            decode_rows("", noise);
            decode_transaction_answer(two_writes(),
                                      with_byte(std::string{conflict}, position, byte));
            decode_row("claim/a", with_byte(R"({"key":"claim/a","version":1,"value":""})",
                                            position, byte));
        });
    cr_expect(held);
}
